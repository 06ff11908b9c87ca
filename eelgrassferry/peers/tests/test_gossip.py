"""Tests of the gossip state, the broadcast tree and a simulated fleet."""

import unittest
from random import Random

from ..broadcast_tree import BroadcastTree
from ..delta_codec import NodeDelta, TopicEntry, unpack_nodes
from ..gossip_messages import Delta
from ..gossip_settings import GossipSettings
from ..gossip_state import GossipState
from ..node_entry import NodeState
from ..simulation import FleetSize, Simulation
from ..topics import ConfigRevision, CrashSuspects, EngineLoad, EngineLoads, Topic, encode_value

NO_LOAD_FLEET = FleetSize(9, 3, engines_per_node=0, models_per_node=0, dispatches=0)


def loads(running: int) -> EngineLoads:
    return EngineLoads((EngineLoad("e1", running, 0, 100, 5),))


class BroadcastTreeTest(unittest.TestCase):
    """Forwarding of an entry through the broadcast trees of all nodes."""

    def test_every_linked_node_is_reached_once(self):
        """Guards against subtrees cut off by a dead node and against duplicate sends."""
        for size in (1, 2, 3, 7, 50, 64):
            for dead in (set(), {"n01"}, {"n03", "n04", "n06"}):
                names = {f"n{n:02d}" for n in range(size)}
                up = names - dead
                trees = {name: BroadcastTree(name, names, up) for name in up}
                for origin in sorted(up)[:5]:
                    reached, waiting = [], [origin]
                    while waiting:
                        targets = trees[waiting.pop()].targets_of(origin)
                        reached += targets
                        waiting += targets
                    self.assertEqual(sorted(reached), sorted(up - {origin}))


class GossipStateTest(unittest.TestCase):
    """Node ``a``, which receives constructed deltas."""

    def setUp(self):
        self.state = GossipState("a", "d1", 1, Random(1))
        self.state.set_peers({"b": "d1", "c": "d2"}, {"b", "c"})

    def apply(self, value, counter, incarnation=1, node="b", topic=Topic.REVISION):
        entry = TopicEntry(topic, counter, encode_value(value))
        return self.state.apply("b", Delta.of(NodeDelta(node, incarnation, (entry,))), 1.0)

    def test_stale_value_is_ignored(self):
        """Guards against a delayed message that overwrites a newer value."""
        self.assertEqual(len(self.apply(ConfigRevision(5), 3).changes), 1)
        for counter, incarnation in ((2, 1), (3, 1), (9, 0)):
            self.assertEqual(self.apply(ConfigRevision(4), counter, incarnation).changes, ())
        self.assertEqual(self.state.values(ConfigRevision), {"b": ConfigRevision(5)})

    def test_new_incarnation_discards_all_topics(self):
        """Guards against load values of a stopped instance that are attributed to its successor."""
        self.apply(loads(9), 4, topic=Topic.LOADS)
        self.apply(ConfigRevision(5), 1, incarnation=2)
        self.assertEqual(self.state.values(EngineLoads), {})

    def test_malformed_values_are_counted_and_skipped(self):
        """Guards against a malformed value that stops the node or discards the other values."""
        entries = (
            TopicEntry(99, 1, b""),
            TopicEntry(Topic.LOADS, 2, b"\xc1"),
            TopicEntry(Topic.REVISION, 3, encode_value(CrashSuspects((), ()))),
            TopicEntry(Topic.REVISION, (1 << 32) - 1, encode_value(ConfigRevision(8))),
            TopicEntry(Topic.REVISION, 4, encode_value(ConfigRevision(8))),
        )
        applied = self.state.apply("b", Delta.of(NodeDelta("b", 1, entries)), 1.0)
        self.assertEqual((applied.malformed, len(applied.changes)), (4, 1))

    def test_exact_load_stays_in_the_domain(self):
        """Guards against load traffic that grows with the fleet instead of the failure domain."""
        self.state.publish(loads(1), 0.0)
        self.assertEqual([out.target for out in self.state.next_round(0.0)[:-1]], ["b"])

    def test_budget_holds_and_only_the_newest_value_is_sent(self):
        """Guards against sending outdated values from the queue or exceeding the byte budget."""
        settings = GossipSettings(bytes_per_s=200, burst_bytes=200, anti_entropy_s=1e9)
        state = GossipState("a", "d1", 1, Random(1), settings)
        names = {f"p{n}": "d1" for n in range(40)}
        state.set_peers(names, set(names))
        sent = 0
        for second in range(30):
            for _ in range(5):
                state.publish(loads(second), float(second))
            for out in state.next_round(float(second))[-9:]:
                if isinstance(out.message, Delta):
                    values = [
                        e.value
                        for nd in unpack_nodes(out.message.packed).unwrap()
                        for e in nd.entries
                    ]
                    self.assertEqual(values, [encode_value(loads(second))] * len(values))
                    sent += sum(len(v) + 15 for v in values) + 40
        self.assertLess(sent, 30 * 200 * 1.3)


class FleetTest(unittest.TestCase):
    """Simulation of a small fleet in virtual time."""

    def states(self, sim, name):
        found = (g.membership.entry(name) for n, g in sim.gossipers.items() if n != name)
        return {entry.state if entry else None for entry in found}

    def test_lost_values_are_repaired_by_anti_entropy(self):
        """Guards against a node that never receives a change because one message was lost."""
        sim = Simulation(NO_LOAD_FLEET)
        sim.run(5.0)
        for mesh in sim.meshes.values():
            mesh.receive = lambda sender, data: None
        sim.gossipers["n000"].set_revision(4)
        sim.run(3.0)
        for mesh in sim.meshes.values():
            del mesh.receive
        known = lambda: all(  # noqa: E731
            g.membership.entry("n000").revision == 4 for g in sim.gossipers.values()
        )
        self.assertFalse(known())
        self.assertLess(sim.run_until(known, 60.0), 60.0)

    def test_partition_and_rejoin(self):
        """Guards against domains that keep unreachable nodes live or do not reconnect."""
        sim = Simulation(NO_LOAD_FLEET)
        sim.run(5.0)
        self.assertEqual(self.states(sim, "n000"), {NodeState.LIVE})
        for name, mesh in sim.meshes.items():
            if not name.endswith(("0", "3", "6")):
                mesh.blocked.add("d0")
        sim.run(30.0)
        inside = sim.gossipers["n003"].membership
        self.assertEqual([e.name for e in inside.live()], ["n000", "n003", "n006"])
        self.assertEqual(len(sim.gossipers["n001"].membership.live()), 6)
        for mesh in sim.meshes.values():
            mesh.blocked.clear()
        sim.run(3.0)
        self.assertEqual({len(g.membership.live()) for g in sim.gossipers.values()}, {9})

    def test_restarted_node_is_known_under_its_new_instance(self):
        """Guards against peers that still store the previous instance of a restarted node."""
        sim = Simulation(NO_LOAD_FLEET)
        sim.run(20.0)
        sim.remove_node("n004")
        sim.run(1.0)
        sim.add_node("n004", "d1", instance="n004-2")
        sim.run(5.0)
        instances = {g.membership.entry("n004").instance for g in sim.gossipers.values()}
        self.assertEqual(instances, {"n004-2"})
        self.assertEqual(self.states(sim, "n004"), {NodeState.LIVE})

    def test_traffic_stays_in_the_budget(self):
        """Guards against gossip traffic of more than 10 KB/s per node in a larger fleet."""
        sim = Simulation(FleetSize(40, 2, engines_per_node=3, models_per_node=10, dispatches=8))
        sim.run(6.0)
        before = {name: m.bytes_sent + m.bytes_received for name, m in sim.meshes.items()}
        sim.run(5.0)
        for name, mesh in sim.meshes.items():
            self.assertLess(mesh.bytes_sent + mesh.bytes_received - before[name], 10_000 * 5.0)
