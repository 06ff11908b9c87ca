"""Benchmark of the gossip protocol in virtual time.

Reports the bytes per node, the propagation time of a change and the processor time. Run
``python -m eelgrassferry.peers.measure [nodes ...]``; set ``MSGPACK_PUREPYTHON=1`` in the
environment to benchmark the pure-Python msgpack codec. Processor time depends on the machine and
excludes socket calls. Bytes are reported without and with TCP and IP headers; the latter assume
that each message takes one segment and one acknowledgement in each direction.
"""

import sys
from collections.abc import Callable

import msgpack

from .gossiper import Gossiper
from .simulation import FleetSize, Simulation

__all__ = ["main", "measure"]

SIZES = {
    7: FleetSize(7, 4, engines_per_node=1, models_per_node=13, dispatches=6),
    50: FleetSize(50, 4, engines_per_node=3, models_per_node=10, dispatches=8),
    150: FleetSize(150, 5, engines_per_node=3, models_per_node=10, dispatches=8),
    330: FleetSize(330, 5, engines_per_node=3, models_per_node=10, dispatches=8),
}
MEASUREMENT_S = 10.0
SEGMENT_HEADER_BYTES = 52
MAX_WAIT_S = 60.0


def holds_at_all_nodes(sim: Simulation, condition: Callable[[Gossiper], bool]) -> bool:
    """Return whether the condition holds for the gossiper of every node."""
    return all(condition(gossiper) for gossiper in sim.gossipers.values())


def measure(size: FleetSize, seed: int = 1) -> str:
    """Simulate a fleet and return its results as one line of text."""
    sim = Simulation(size, seed)
    count = size.nodes
    start_s = sim.run_until(
        lambda: holds_at_all_nodes(sim, lambda g: len(g.membership.live()) == count), 60
    )
    sim.run(MEASUREMENT_S)
    meshes = list(sim.meshes.values())
    before = [(m.bytes_sent, m.bytes_received, m.messages_sent) for m in meshes]
    sim.processor_s = 0.0
    sim.run(MEASUREMENT_S)
    spent = sim.processor_s
    rates = [
        ((m.bytes_sent - s) / MEASUREMENT_S, (m.bytes_received - r) / MEASUREMENT_S)
        for m, (s, r, _) in zip(meshes, before, strict=True)
    ]
    messages = sum(m.messages_sent - b[2] for m, b in zip(meshes, before, strict=True))
    both = sorted(sent + received for sent, received in rates)
    headers = 4 * SEGMENT_HEADER_BYTES * messages / count / MEASUREMENT_S
    backlog = sum(g.state.backlog for g in sim.gossipers.values()) / count
    name = next(iter(sim.gossipers))
    sim.gossipers[name].set_draining(True)
    drain_s = sim.run_until(
        lambda: holds_at_all_nodes(sim, lambda g: g.membership.entry(name).draining), MAX_WAIT_S
    )
    sim.gossipers[name].set_revision(7)
    revision_s = sim.run_until(
        lambda: holds_at_all_nodes(sim, lambda g: g.membership.entry(name).revision == 7),
        MAX_WAIT_S,
    )
    return (
        f"{count:4d} nodes: start {start_s:5.1f} s; sent+received mean "
        f"{sum(both) / count:6.0f} max {both[-1]:6.0f} B/s, "
        f"with headers {sum(both) / count + headers:6.0f}; {messages / count / MEASUREMENT_S:5.1f} "
        f"messages/s; draining known {drain_s:4.1f} s, revision {revision_s:4.1f} s; processor "
        f"{100.0 * spent / count / MEASUREMENT_S:5.2f}% of a core per node; backlog {backlog:.0f}"
    )


def main() -> None:
    """Print the results for each fleet size."""
    codec = "pure Python" if "fallback" in msgpack.Packer.__module__ else "C"
    print(f"msgpack codec: {codec}")
    for nodes in map(int, sys.argv[1:] or SIZES):
        print(measure(SIZES[nodes]), flush=True)


if __name__ == "__main__":
    main()
