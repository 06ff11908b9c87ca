"""Owns the orders to all engines while it holds the lease. No I/O."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..dispatch import CoordinatorResidency, PrefillSlownessEstimator, UpstreamLoad
from ..fleet import Engine, FleetConfig, ServiceBounds, UpstreamDirectory, UpstreamEntry
from ..placement import OrderKind
from ..routing import UpstreamState
from .adapter_places import place_adapter
from .cold_load_gate import ColdLoadGate
from .demand_book import DemandBook
from .engine_book import CopyState, EngineBook
from .engine_report import EngineReport
from .fleet_order import FleetOrder, OrderAnswer
from .inheritance import Inheritance
from .node_status import NodeStatus
from .order_news import OrderNews
from .plan_state import PlanState
from .planner import LoadStep, Planner, RestoreStep, Step, UnloadStep, WithdrawStep
from .status_book import StatusBook

__all__ = ["AskReport", "Coordinator", "GiveOrder"]

# Once demand has been seen for this long, it replaces the first assumption of what is busy, in
# seconds.
PRIOR_FOR_S = 5.0


@dataclass(frozen=True)
class GiveOrder:
    """Send an order to an engine; ``reason`` is for the log."""

    entry: UpstreamEntry
    order: FleetOrder
    reason: str


@dataclass(frozen=True)
class AskReport:
    """Read an engine's report."""

    entry: UpstreamEntry


class Coordinator:
    """Plans and orders for all engines of all services, from the start of one lease term on.

    ``inheritance`` tells what an earlier holder ordered, ``pace`` how fast engines are. Books are
    kept by incarnation. ``changes`` counts the changes of what nodes are told about engines.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        bounds: ServiceBounds,
        inheritance: Inheritance,
        pace: PrefillSlownessEstimator,
    ) -> None:
        self.changes = 0
        self.books: dict[str, EngineBook] = {}
        self._directory = directory
        self._bounds = bounds
        self._inheritance = inheritance
        self._pace = pace
        self._config: FleetConfig | None = None
        self._demand = DemandBook()
        self._planners: dict[str, Planner] = {}
        self._statuses = StatusBook()
        self._learned: set[str] = set()
        self._demand_since: float | None = None
        self._told_orders: dict[str, float] = {}
        self._told_begun: dict[str, int] = {}
        self._told_open: dict[str, int] = {}

    # Inputs

    def set_config(self, config: FleetConfig, now: float) -> None:
        """Use a version of the configuration."""
        self._config = config
        for service in config.services.values():
            if service.engine is None:
                continue
            planner = self._planners.get(service.name)
            if planner is not None:
                planner.set_service(service)
                continue
            rate = service.engine.cold_loads_per_s
            known = self._inheritance.cold_loads
            begun = None if known is None else known.get(service.name, ())
            load_s = max(model.load_s for model in service.engine.models.values())
            gate = ColdLoadGate(self._bounds, rate, load_s, now, begun)
            self._planners[service.name] = Planner(service, self._demand, gate)

    def take_status(self, status: NodeStatus, now: float) -> None:
        """Take a node's status."""
        self._statuses.take(status, now)
        if status.arrivals and self._demand_since is None:
            self._demand_since = now
        for (service, model), (count, work_s) in status.arrivals.items():
            self._demand.note_arrivals(service, model, count, work_s, now)
        in_use = (key for key in status.running if key[2])
        for instance, model, adapter in (*status.used, *in_use):
            book = self.books.get(instance)
            if book is not None:
                book.used_at[model, adapter] = now
        for instance, weight in status.doubts.items():
            if instance in self.books:
                self.books[instance].note_doubt(weight, now)
        for instance in status.declined:
            if instance in self.books:
                self.books[instance].note_declined(now)

    def forget_node(self, node: str) -> None:
        """Drop the status of a node that is gone."""
        self._statuses.forget(node)

    def take_directory(self, now: float) -> None:
        """Look at the registered upstreams again."""
        if self._config is None:
            return
        seen = set()
        for service in self._config.services.values():
            if service.engine is None:
                continue
            for entry in self._directory.of_service(service.name):
                seen.add(entry.instance)
                book = self.books.get(entry.instance)
                if book is None or not book.entry.is_same_process(entry):
                    if book is not None:
                        self._gate(book).note_gone(entry.instance, now)
                    book = self._open_book(entry, service.engine, now)
                    self.books[entry.instance] = book
                    self.changes += 1
                elif book.entry is not entry:
                    book.take_entry(entry, now)
                    self.changes += 1
                book.spec = service.engine
        for instance in [instance for instance in self.books if instance not in seen]:
            self._gate(self.books.pop(instance)).note_gone(instance, now)
            self.changes += 1

    def take_report(self, instance: str, report: EngineReport, asked_at: float, now: float) -> bool:
        """Take an engine's report; return whether it was used."""
        book = self.books.get(instance)
        if book is None:
            return False
        used = book.take_report(report, asked_at, now)
        self.changes += int(used)
        if used:
            self._gate(book).note_count(instance, report.accepted_orders, now)
        return used

    def take_answer(self, given: GiveOrder, answer: OrderAnswer, now: float) -> GiveOrder | None:
        """Take the answer to an order; return the order where it is to be sent again."""
        book = self.books.get(given.entry.instance)
        if book is None or book.pending is not given.order:
            # The engine has ended, or has started again under its id and has orders of its own.
            return None
        self._note_answer(book, given.order, answer, now)
        again = book.settle(answer, now)
        self.changes += 1
        return GiveOrder(book.entry, again, "no answer") if again is not None else None

    # Decisions

    def decide(self, now: float) -> list[GiveOrder | AskReport]:
        """Return the orders and questions that are due."""
        if self._config is None:
            return []
        actions: list[GiveOrder | AskReport] = []
        for book in self.books.values():
            leaves = book.entry.state is not UpstreamState.LIVE
            if not leaves and not book.is_doubtful(now) and book.wants_report(now):
                book.note_asked(now)
                actions.append(AskReport(book.entry))
        self._statuses.expire(now)
        waiting, adapters = self._statuses.wants()
        for name, planner in self._planners.items():
            service = self._config.services.get(name)
            if service is None or service.engine is None:
                continue
            books = [
                book
                for book in self.books.values()
                if book.entry.service == name
                and book.entry.state is UpstreamState.LIVE
                and not book.is_doubtful(now)
            ]
            self._learn_priors(name, planner, books)
            if self._demand_since is not None and now - self._demand_since > PRIOR_FOR_S:
                planner.drop_priors()
            actions += self._order_adapters(adapters.get(name, {}), books, now)
            state = PlanState(
                name,
                books,
                waiting.get(name, {}),
                self._statuses.running,
                self._statuses.loads,
                self._demand,
                self._pace,
                now,
            )
            for step in planner.plan(state):
                action = self._take_step(step, now)
                if action is not None:
                    actions.append(action)
        return actions

    def residency(self, now: float) -> dict[str, CoordinatorResidency]:
        """Return what nodes are told about each engine."""
        return {
            instance: CoordinatorResidency(
                started_ms=book.entry.started_ms,
                adapters=self._ready_adapters(book, now),
                live=frozenset(
                    model for model, copy in book.copies.items() if copy.state is CopyState.LIVE
                ),
                loading={
                    model: copy.due
                    for model, copy in book.copies.items()
                    if copy.state is CopyState.LOADING
                },
            )
            for instance, book in self.books.items()
            if book.synced or book.copies
        }

    def next_ready_at(self, now: float) -> float | None:
        """Return when the next adapter under way is expected to be usable, None without one."""
        times = [
            ready_at
            for book in self.books.values()
            for ready_at in book.adapters.values()
            if now < ready_at < float("inf")
        ]
        return min(times, default=None)

    @property
    def loads(self) -> dict[str, UpstreamLoad]:
        """What all nodes have in flight by upstream."""
        return self._statuses.loads

    def has_order_news(self) -> bool:
        """Whether an engine was given an order that the nodes do not know of."""
        return any(
            book.last_order_at > self._told_orders.get(instance, float("-inf"))
            for instance, book in self.books.items()
        )

    def take_order_news(self, now: float) -> OrderNews:
        """Return what the nodes were not told yet of the orders, and count it as told."""
        orders = {instance: book.last_order_at for instance, book in self.books.items()}
        recent = self._still_counting(orders, now)
        changed = {i: at for i, at in recent.items() if self._told_orders.get(i) != at}
        begun: dict[str, tuple[float, ...]] = {}
        for name, planner in self._planners.items():
            count = planner.gate.begun_count
            times = planner.gate.begun_since(self._told_begun.get(name, 0), count)
            if times:
                begun[name] = times
            self._told_begun[name] = count
        opened = {name: planner.gate.open_loads for name, planner in self._planners.items()}
        changed_open = {n: count for n, count in opened.items() if self._told_open.get(n) != count}
        self._told_open = opened
        self._told_orders = orders
        return OrderNews(changed, begun, changed_open)

    def told_order_news(self, now: float) -> OrderNews:
        """Return everything that the nodes were told of the orders and that still counts."""
        return OrderNews(
            self._still_counting(self._told_orders, now),
            {
                name: planner.gate.begun_since(0, self._told_begun.get(name, 0))
                for name, planner in self._planners.items()
            },
            dict(self._told_open),
        )

    def _still_counting(self, orders: dict[str, float], now: float) -> dict[str, float]:
        """Return the times of last orders that a successor still has to know."""
        oldest = now - 2.0 * self._bounds.order_handover_s
        return {instance: at for instance, at in orders.items() if at >= oldest}

    @property
    def nodes(self) -> int:
        """The number of nodes that send their status."""
        return max(1, len(self._statuses))

    # Steps

    def _order_adapters(
        self,
        wanted: dict[tuple[str, str], float],
        books: list[EngineBook],
        now: float,
    ) -> Iterable[GiveOrder]:
        requests = {instance: load.requests for instance, load in self.loads.items()}
        for model, adapter in sorted(wanted, key=lambda pair: wanted[pair]):
            placed = place_adapter(model, adapter, books, wanted, requests, now)
            if placed is not None:
                book, order = placed
                book.begin(order, now)
                self.changes += 1
                yield GiveOrder(book.entry, order, f"requests wait for {model}/{adapter}")

    def _take_step(self, step: Step, now: float) -> GiveOrder | None:
        book = self.books[step.instance]
        self.changes += 1
        match step:
            case WithdrawStep(_, model, room_for):
                book.withdraw(model, room_for, now)
                return None
            case LoadStep(_, model, reason):
                order = FleetOrder(OrderKind.LOAD_MODEL, model, book.count)
                if book.is_cold(model):
                    reason = f"{reason}, from the weight store"
            case RestoreStep(_, model):
                book.restore(model, now)
                return None
            case UnloadStep(_, model):
                order = FleetOrder(OrderKind.UNLOAD_MODEL, model, book.count)
                reason = "makes room"
        book.begin(order, now)
        return GiveOrder(book.entry, order, reason)

    def _note_answer(
        self, book: EngineBook, order: FleetOrder, answer: OrderAnswer, now: float
    ) -> None:
        gate = self._gate(book)
        match answer:
            case OrderAnswer.ACCEPTED:
                gate.note_count(book.instance, order.expected_count + 1, now)
            case OrderAnswer.UNKNOWN:
                gate.note_unanswered(book.instance)
            case _:
                gate.note_refused(book.instance)

    def _gate(self, book: EngineBook) -> ColdLoadGate:
        """Return the gate of an engine's service. Books are of services with a planner only."""
        return self._planners[book.entry.service].gate

    def _open_book(self, entry: UpstreamEntry, engine: Engine, now: float) -> EngineBook:
        inherited = self._inheritance
        last_order_at = inherited.last_orders.get(entry.instance, float("-inf"))
        open_at = max(inherited.not_before, last_order_at + self._bounds.order_handover_s)
        # An order that is not known of may have been sent up to ``not_before``.
        return EngineBook(
            entry, engine, max(last_order_at, min(inherited.not_before, now)), open_at
        )

    def _learn_priors(self, name: str, planner: Planner, books: list[EngineBook]) -> None:
        if name not in self._learned and books and all(book.synced for book in books):
            self._learned.add(name)
            planner.learn_priors(books)

    def _ready_adapters(self, book: EngineBook, now: float) -> dict[str, frozenset[str]]:
        found: dict[str, set[str]] = {}
        for (model, adapter), ready_at in book.adapters.items():
            if ready_at <= now:
                found.setdefault(model, set()).add(adapter)
        return {model: frozenset(names) for model, names in found.items()}
