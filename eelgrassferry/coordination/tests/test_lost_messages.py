"""Tests of nodes that do not receive one message of the coordinator about the store's objects."""

import time
from collections.abc import Iterable

from ...peers.frame import FrameDecoder
from ..messages import CHANGES, COPY
from ..peer_link import PeerLink
from . import test_coordination

# Changes have to take effect within 2 s. The rest of that time is reserved for the way to the
# coordinator and for late wake-ups of slow nodes.
REPAIR_BOUND_S = 1.0


def drop_next(link: PeerLink, kind: str) -> list[bytes]:
    """Drop the next frame of a kind about ``things/`` on a link; return a list that receives it."""
    dropped: list[bytes] = []
    send_bytes = link.send_bytes

    def send_unless_dropped(data: bytes) -> None:
        decoder = FrameDecoder()
        decoder.feed(data)
        frame = decoder.next().unwrap()
        if not dropped and frame.kind == kind and frame.body["prefix"] == "things/":
            dropped.append(data)
        else:
            send_bytes(data)

    link.send_bytes = send_unless_dropped
    return dropped


class LostMessageTest(test_coordination.CoordinationCase):
    """Three nodes, of which two follow the third. Nothing changes after the message is lost."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.old = self.leader()
        self.members = [node for node in self.nodes if node is not self.old]
        await self.eventually(lambda: len(self.old.mesh._members) == 2)
        await self.eventually(lambda: all(node.feed.is_relayed() for node in self.members))

    def links_to(self, members: Iterable[test_coordination.Node]) -> list[PeerLink]:
        names = {node.name for node in members}
        return [link for link in self.old.mesh._members if link.peer in names]

    async def check_change_arrives(self, members: list[test_coordination.Node]) -> None:
        """Change one object and check that all members know it in time."""
        written_at = time.monotonic()
        (await self.store.put("things/a", b"new", 0)).unwrap()
        await self.eventually(lambda: all("things/a" in n.feed.objects for n in members))
        self.assertLess(time.monotonic() - written_at, REPAIR_BOUND_S)

    async def test_one_change_is_lost_on_the_way_to_one_member(self):
        """Guards against a violation of CONFIG: a node that misses one relayed change refuses the
        callers of an added route, because it notices the gap with the next change only, or when
        the coordinator's watch ends after 2 s.
        """
        for member in self.members:
            with self.subTest(member=member.name):
                (link,) = self.links_to([member])
                dropped = drop_next(link, CHANGES)
                await self.check_change_arrives([member])
                self.assertEqual(len(dropped), 1)
                stored = self.old.feed.objects["things/a"]
                await self.store.delete("things/a", stored.version)
                await self.eventually(lambda: not any(n.feed.objects for n in self.nodes))

    async def test_one_change_is_lost_on_the_way_to_all_members(self):
        """Guards against a violation of CONFIG, as above, on all nodes at once."""
        dropped = [drop_next(link, CHANGES) for link in self.links_to(self.members)]
        await self.check_change_arrives(self.members)
        self.assertEqual([len(frames) for frames in dropped], [1, 1])

    async def test_requested_copy_is_lost(self):
        """Guards against a violation of CONFIG: a node that lost a change and then the copy that it
        requested neither receives changes nor reads the store.
        """
        link = self.links_to(self.members)[0]
        drop_next(link, CHANGES)
        dropped = drop_next(link, COPY)
        await self.check_change_arrives(self.members)
        self.assertEqual(len(dropped), 1)
