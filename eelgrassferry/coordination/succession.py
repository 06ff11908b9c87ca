"""The order in which nodes succeed a coordinator."""

import random
from collections.abc import Iterable

from ..fleet import EntrySettings
from ..peers import rendezvous_owner
from .node_registry import NodeRegistry

__all__ = ["Succession"]

# A node that is not the standby leaves a free lease to it for this time, in seconds, plus a random
# time of up to ``HEAD_START_SPREAD_S``. The standby takes the lease within some 10 ms.
STANDBY_HEAD_START_S = 0.8
HEAD_START_SPREAD_S = 0.6
# Without a standby, nodes begin to compete at random times within this period, in seconds.
START_SPREAD_S = 0.15
# Nodes with at least this many cores are preferred as coordinators, because the coordinator's work
# grows with the fleet. Other nodes leave a free lease to them for ``DELAY_PER_CORE_S`` seconds per
# missing core.
FULL_CORES = 1.0
DELAY_PER_CORE_S = 1.0


class Succession:
    """The standby, which the coordinator names, and the delays of all nodes behind it.

    The standby competes for a free lease at once and all other nodes later, so that hundreds of
    nodes do not read and write the lease at the same time. ``standby`` is "" if none is known, as
    after the start of the system.
    """

    def __init__(self, settings: EntrySettings, registry: NodeRegistry) -> None:
        self.standby = ""
        self._settings = settings
        self._registry = registry
        self._members: set[str] = set()
        self._spread_share = random.random()

    @property
    def is_standby(self) -> bool:
        """Whether this node is to succeed the coordinator."""
        return self.standby == self._settings.name

    @property
    def delay_s(self) -> float:
        """The time for which this node leaves a free lease to other nodes, in seconds."""
        if self.is_standby:
            return 0.0
        delay_s = DELAY_PER_CORE_S * max(0.0, FULL_CORES - self._settings.cores)
        if self.standby:
            return delay_s + STANDBY_HEAD_START_S + HEAD_START_SPREAD_S * self._spread_share
        return delay_s + START_SPREAD_S * self._spread_share

    def choose_standby(self, members: Iterable[str]) -> str:
        """Choose the standby among the nodes that are linked to this coordinator.

        Nodes in other failure domains and with more cores are preferred. The standby does not
        change while the members do not.
        """
        names = set(members)
        if names != self._members:
            self._members = names
            ranks = {name: self._rank(name) for name in names}
            best = max(ranks.values(), default=None)
            preferred = [name for name in names if ranks[name] == best]
            self.standby = rendezvous_owner(self._settings.name, preferred) or ""
        return self.standby

    def _rank(self, name: str) -> tuple[bool, float]:
        in_other_domain = self._registry.domain(name) != self._settings.domain
        return in_other_domain, min(FULL_CORES, self._registry.cores(name))
