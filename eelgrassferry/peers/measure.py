"""Measure gossip in virtual time: bytes per node, spread of a change, processor time.

Run ``python -m eelgrassferry.peers.measure [nodes ...]``; with ``MSGPACK_PUREPYTHON=1`` in the
environment the pure-Python msgpack codec is measured. Figures hold for the machine they ran on.
Processor time leaves out socket calls; bytes are given without and with the headers of TCP and
IP, the latter as if each message took one segment and one acknowledgement each way.
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
STEADY_S = 10.0
SEGMENT_HEADER_BYTES = 52
LIMIT_S = 60.0


def all_know(sim: Simulation, known: Callable[[Gossiper], bool]) -> bool:
    """Return whether the condition holds at every node."""
    return all(known(gossiper) for gossiper in sim.gossipers.values())


def measure(size: FleetSize, seed: int = 1) -> str:
    """Return one line of figures for a fleet."""
    sim = Simulation(size, seed)
    count = size.nodes
    start_s = sim.run_until(lambda: all_know(sim, lambda g: len(g.membership.live()) == count), 60)
    sim.run(STEADY_S)
    meshes = list(sim.meshes.values())
    before = [(m.bytes_sent, m.bytes_received, m.messages_sent) for m in meshes]
    sim.processor_s = 0.0
    sim.run(STEADY_S)
    spent = sim.processor_s
    rates = [
        ((m.bytes_sent - s) / STEADY_S, (m.bytes_received - r) / STEADY_S)
        for m, (s, r, _) in zip(meshes, before, strict=True)
    ]
    messages = sum(m.messages_sent - b[2] for m, b in zip(meshes, before, strict=True))
    both = sorted(sent + received for sent, received in rates)
    headers = 4 * SEGMENT_HEADER_BYTES * messages / count / STEADY_S
    backlog = sum(g.state.backlog for g in sim.gossipers.values()) / count
    name = next(iter(sim.gossipers))
    sim.gossipers[name].set_draining(True)
    drain_s = sim.run_until(
        lambda: all_know(sim, lambda g: g.membership.entry(name).draining), LIMIT_S
    )
    sim.gossipers[name].set_revision(7)
    revision_s = sim.run_until(
        lambda: all_know(sim, lambda g: g.membership.entry(name).revision == 7), LIMIT_S
    )
    return (
        f"{count:4d} nodes: start {start_s:5.1f} s; sent+received mean "
        f"{sum(both) / count:6.0f} max {both[-1]:6.0f} B/s, "
        f"with headers {sum(both) / count + headers:6.0f}; {messages / count / STEADY_S:5.1f} "
        f"messages/s; draining known {drain_s:4.1f} s, revision {revision_s:4.1f} s; processor "
        f"{100.0 * spent / count / STEADY_S:5.2f}% of a core per node; backlog {backlog:.0f}"
    )


def main() -> None:
    """Print the figures of each fleet size."""
    codec = "pure Python" if "fallback" in msgpack.Packer.__module__ else "C"
    print(f"msgpack codec: {codec}")
    for nodes in map(int, sys.argv[1:] or SIZES):
        print(measure(SIZES[nodes]), flush=True)


if __name__ == "__main__":
    main()
