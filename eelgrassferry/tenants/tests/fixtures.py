"""A fleet of nodes that admit the requests of tenants, in virtual time."""

from collections import Counter, defaultdict
from random import Random

from ...fleet import QuotaUnit, ServiceBounds, Tenant
from .. import Admitted, OverQuota, QuotaBook, QuotaGate, QuotaReply, QuotaReport

BOUNDS = ServiceBounds(quota_window_s=8.0, quota_over=0.1, quota_slack=110_000.0)
STEP_S = 0.01
# One way between two nodes, in seconds.
MESSAGE_S = 0.01
VIEW_INTERVAL_S = 0.17
# After this time without a message, the coordinator does not count a node any more, in seconds.
HEARD_S = 1.0
# Tokens of a request and the share of requests that have this many.
SIZES = ((9250.0, 0.33), (1100.0, 0.33), (200.0, 0.34))
MEAN_SIZE = sum(size * share for size, share in SIZES)
MAX_WAIT_S = 0.1


def make_tenants(*rates: float) -> dict[str, Tenant]:
    """Return tenants with these rates in tokens per second and a burst of one second."""
    return {
        f"t{number}": Tenant(
            f"t{number}", (f"k{number}",), rate_per_s=rate, burst=rate, unit=QuotaUnit.TOKENS
        )
        for number, rate in enumerate(rates)
    }


class QuotaFleet:
    """Nodes, the coordinator's book, and links on which messages take ``MESSAGE_S``.

    ``linked`` are the numbers of the nodes that reach the coordinator. ``demand`` is what the
    callers of each tenant ask for, in units per second. ``ran`` contains the time and units of each
    request that ran, by tenant, ``asked`` and ``refused`` the units since ``clear``.
    """

    def __init__(self, nodes: int, tenants: dict[str, Tenant], seed: int = 1) -> None:
        self.now = 100.0
        self.tenants = tenants
        self.rng = Random(seed)
        self.gates: list[QuotaGate] = []
        self.linked = set(range(nodes))
        self.book: QuotaBook | None = None
        self.frozen_until = 0.0
        self.demand = {name: 0.55 * tenant.rate_per_s for name, tenant in tenants.items()}
        self.ran: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.asked: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.waits: list[float] = []
        self.not_run_share = 0.0
        self._mail: list[tuple[float, object]] = []
        self._deferred: dict[tuple[int, int], tuple[str, float, float]] = {}
        self._heard: dict[int, float] = {}
        self._view_at = 0.0
        for _ in range(nodes):
            self.gates.append(self.make_gate(nodes))

    def make_gate(self, nodes: int) -> QuotaGate:
        """Return the gate of a process that has just started."""
        gate = QuotaGate(BOUNDS, Random(self.rng.random()), self.now)
        gate.set_tenants(self.tenants)
        gate.node_count = nodes
        return gate

    def elect(self) -> None:
        """Let a new coordinator begin, to which the linked nodes connect at once."""
        self._mail.clear()
        self._heard = dict.fromkeys(self.linked, self.now)
        self.book = QuotaBook(self.tenants, BOUNDS, self.share, self.now)
        for number in self.linked:
            self._connect(number)

    def heal(self, numbers: set[int]) -> None:
        """Let nodes connect to the coordinator again."""
        self.linked |= numbers
        for number in numbers:
            self._heard[number] = self.now
            self._connect(number)

    def set_tenants(self, tenants: dict[str, Tenant]) -> None:
        """Apply a version of the configuration everywhere."""
        self.tenants = tenants
        for gate in self.gates:
            gate.set_tenants(tenants)
        if self.book is not None:
            self.book.set_tenants(tenants, self.now)

    @property
    def share(self) -> float:
        """Share of the nodes that the coordinator has heard of."""
        heard = sum(self.now - at <= HEARD_S for at in self._heard.values())
        return max(1, heard) / len(self.gates)

    def clear(self) -> None:
        """Begin to count what is asked for and refused."""
        self.asked.clear()
        self.refused.clear()
        self.waits.clear()

    def run(self, seconds: float) -> None:
        """Let requests arrive at random nodes."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for name, per_s in self.demand.items():
                self._arrive(name, per_s)
            self._deliver()
            self._coordinate()
            for number, gate in enumerate(self.gates):
                self._step(number, gate)

    def served_share(self, name: str) -> float:
        """Return the share of a tenant's units that was not refused since ``clear``."""
        return 1.0 - self.refused[name] / max(1, self.asked[name])

    def used_share(self, name: str, seconds: float) -> float:
        """Return what a tenant ran in the last ``seconds``, as a share of its rate."""
        ran = sum(units for at, units in self.ran[name] if at > self.now - seconds)
        return ran / seconds / self.tenants[name].rate_per_s

    def worst_window(self, name: str, tenant: Tenant | None = None) -> float:
        """Return the most that ran in a window, as a share of what is allowed."""
        tenant = tenant or self.tenants[name]
        quota = tenant.rate_per_s * BOUNDS.quota_window_s + tenant.burst
        allowed = quota * (1.0 + BOUNDS.quota_over) + BOUNDS.quota_slack
        ran, first, total, most = self.ran[name], 0, 0.0, 0.0
        for at, units in ran:
            total += units
            while ran[first][0] < at - BOUNDS.quota_window_s:
                total -= ran[first][1]
                first += 1
            most = max(most, total)
        return most / allowed

    def _connect(self, number: int) -> None:
        """Let a node get its first messages from a coordinator."""
        gate = self.gates[number]
        gate.reset(self.now)
        gate.record_contact(self.now)
        if self.book is not None:
            gate.apply(QuotaReply(is_open=self.book.open_tenants()), self.now)

    def _arrive(self, name: str, per_s: float) -> None:
        mean = per_s / MEAN_SIZE * STEP_S
        count = int(mean) + (self.rng.random() < mean % 1.0)
        for _ in range(count):
            size = self.rng.choices(*zip(*SIZES, strict=True))[0]
            number = self.rng.randrange(len(self.gates))
            self.asked[name] += size
            decision = self.gates[number].admit(name, size, MAX_WAIT_S, self.now)
            if isinstance(decision, Admitted | OverQuota):
                self._finish(number, decision, name, size, self.now)
            else:
                self._deferred[number, decision.ask_id] = (name, size, self.now)

    def _finish(self, number, decision, name: str, units: float, asked_at: float) -> None:
        if isinstance(decision, OverQuota):
            self.refused[name] += round(units)
        elif self.rng.random() < self.not_run_share:
            self.gates[number].give_back(decision)
        else:
            self.ran[name].append((self.now, units))
            self.waits.append(self.now - asked_at)

    def _finish_deferred(self, number: int, decisions) -> None:
        for ask_id, decision in decisions:
            name, units, asked_at = self._deferred.pop((number, ask_id))
            self._finish(number, decision, name, units, asked_at)

    def _step(self, number: int, gate: QuotaGate) -> None:
        self._finish_deferred(number, gate.due(self.now))
        if number in self.linked and self.book is not None:
            report = gate.pop_report(self.now)
            if report is not None:
                self._mail.append((self.now + MESSAGE_S, (number, report)))

    def _deliver(self) -> None:
        if self.now < self.frozen_until:
            return
        due = [message for at, message in self._mail if at <= self.now]
        self._mail = [entry for entry in self._mail if entry[0] > self.now]
        for number, message in due:
            if number not in self.linked or self.book is None:
                continue
            if isinstance(message, QuotaReport):
                reply = self.book.apply(message, self.now)
                if reply.grants:
                    self._mail.append((self.now + MESSAGE_S, (number, reply)))
            else:
                self._finish_deferred(number, self.gates[number].apply(message, self.now))

    def _coordinate(self) -> None:
        if self.book is None or self.now < self.frozen_until:
            return
        self._heard.update(dict.fromkeys(self.linked, self.now))
        self.book.set_share(self.share, self.now)
        changes = self.book.update(self.now)
        if changes:
            for number in self.linked:
                self._mail.append((self.now + MESSAGE_S, (number, QuotaReply(is_open=changes))))
        if self.now - self._view_at >= VIEW_INTERVAL_S:
            self._view_at = self.now
            for number in self.linked:
                self.gates[number].record_contact(self.now)
