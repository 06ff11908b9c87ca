"""Tests of gossip and configuration exchange over TCP links."""

from random import Random

from .. import ConfigExchange, ConfigRecord, Gossiper, HostEntry, PeerMesh
from ..config_exchange import ConfigPull
from ..gossip_settings import GossipSettings
from ..topics import EngineLoad, EngineLoads
from .test_mesh import MeshTestCase, until


class GossiperTest(MeshTestCase):
    """Nodes that are configured with a single seed."""

    async def start_node(self, name: str, seeds=(), accept=lambda record: True):
        mesh = PeerMesh(name, "d1", f"{name}-1", "127.0.0.1:0", ("k",), seeds, rng=Random(1))
        await mesh.start()
        gossiper = Gossiper(mesh, settings=GossipSettings(round_s=0.02), rng=Random(2))
        exchange = ConfigExchange(mesh, gossiper, accept, rng=Random(3))
        await gossiper.start()
        for cleanup in (mesh.close, exchange.close, gossiper.close):
            self.addAsyncCleanup(cleanup)
        return mesh, gossiper, exchange

    async def test_nodes_find_each_other_from_one_seed(self):
        """Guards against nodes that do not find each other while the host list is unavailable."""
        mesh, first, _ = await self.start_node("a")
        others = [(await self.start_node(n, (mesh.address,)))[1] for n in ("b", "c")]
        received = []
        others[0].on_change(EngineLoads, lambda node, value: received.append((node, value)))
        await until(lambda: all(len(g.membership.live()) == 3 for g in (first, *others)))
        value = EngineLoads((EngineLoad("e1", 1, 2, 3, 4),))
        others[1].publish(value)
        await until(lambda: received == [("c", value)])
        owners = {g.membership.owner_of("shard-3") for g in (first, *others)}
        self.assertEqual(len(owners), 1)
        first.set_draining(True)
        await until(lambda: all(g.membership.entry("a").draining for g in others))

    async def test_host_list_links_nodes(self):
        """Guards against nodes that ignore the host list."""
        (mesh_a, a, _), (mesh_b, b, _) = await self.start_node("a"), await self.start_node("b")
        a.set_hosts([HostEntry("a", mesh_a.address, "d1"), HostEntry("b", mesh_b.address, "d1")])
        await until(lambda: len(a.membership.live()) == len(b.membership.live()) == 2)

    async def test_new_record_reaches_all_and_never_reverts(self):
        """Guards against a node that misses a new record or reverts to an older one."""
        mesh, _, first = await self.start_node("a")
        others = [(await self.start_node(n, (mesh.address,)))[2] for n in ("b", "c")]
        first.put(ConfigRecord(7, b"seven"))
        await until(lambda: all(x.record == ConfigRecord(7, b"seven") for x in others))
        self.assertFalse(others[0].put(ConfigRecord(6, b"six")))
        others[1].put(ConfigRecord(8, b"eight"))
        await until(lambda: first.record.revision == others[0].record.revision == 8)

    async def test_starting_node_takes_the_newest_record_from_its_peers(self):
        """Guards against a node that cannot start while the object API is unavailable."""
        mesh, _, first = await self.start_node("a")
        first.put(ConfigRecord(7, b"seven"))
        late_mesh, _, late = await self.start_node("b", (mesh.address,))
        await until(lambda: late_mesh.is_connected("a"))
        self.assertEqual(await late.pull_newest(), ConfigRecord(7, b"seven"))

    async def test_rejected_record_is_not_stored(self):
        """Guards against storing or forwarding a record that fails validation."""
        mesh, _, first = await self.start_node("a")
        validating = (await self.start_node("b", (mesh.address,), lambda r: r.payload != b"bad"))[2]
        first.put(ConfigRecord(7, b"bad"))
        await until(lambda: mesh.is_connected("b"))
        self.assertEqual((await validating.pull_newest()).revision, 0)
        first.put(ConfigRecord(8, b"good"))
        await until(lambda: validating.record.revision == 8)

    async def test_failed_pulls_are_retried(self):
        """Guards against a node that misses a record because its only pull failed."""
        mesh, _, first = await self.start_node("a")
        late = (await self.start_node("b", (mesh.address,)))[2]
        await until(lambda: mesh.is_connected("b"))
        pulls = []

        def fail_twice(peer, pull):
            pulls.append(pull)
            return first.record if len(pulls) > 2 else None

        mesh.handle(ConfigPull, fail_twice)
        first.put(ConfigRecord(7, b"seven"))
        await until(lambda: late.record.revision == 7)
        self.assertEqual(len(pulls), 3)

    async def test_newer_offer_during_a_pull_is_not_forgotten(self):
        """Guards against a rejected record that discards a newer offer received meanwhile."""
        mesh, _, first = await self.start_node("a")
        validating = (await self.start_node("b", (mesh.address,), lambda r: r.payload != b"bad"))[2]
        await until(lambda: mesh.is_connected("b"))

        def answer_late(peer, pull):
            record = first.record
            first.put(ConfigRecord(8, b"good"))
            return record

        mesh.handle(ConfigPull, answer_late)
        first.put(ConfigRecord(7, b"bad"))
        await until(lambda: validating.record.revision == 8)
