"""What one incarnation of an engine holds, counting orders that are under way or open."""

from dataclasses import dataclass
from enum import Enum

from ..fleet import EngineSpec, UpstreamEntry
from ..placement import OrderKind
from .engine_report import EngineReport
from .fleet_order import FleetOrder, OrderAnswer

__all__ = ["CopyState", "EngineBook", "ModelCopy"]

# An order arrives within this time after it was decided, in seconds: it is sent within the 0.35 s
# for which its answer is waited for, and is on its way for 0.4 s at most.
ORDER_ARRIVES_S = 0.75
# An engine's report describes it as it was up to this long before, in seconds.
REPORT_LAG_S = 0.35
# An adapter is usable this long after its order was accepted, in seconds, while few are in transit.
ADAPTER_LOAD_S = 0.008
# An order without an answer is sent again, with the same count, this often before the engine's
# report is asked for.
MAX_REPEATS = 2
# Once a load or unload is overdue by this time, in seconds, the report is read.
OVERDUE_S = 0.25
# A registration outlives its engine by up to three heartbeats. Signs of this weight from the nodes'
# requests within this time, in seconds, are believed before.
DOUBT_LIMIT = 2.0
DOUBT_FOR_S = 2.5
# An adapter used within this time is likely to be followed by others of its model, in seconds.
RECENT_S = 1.5
# Time after which an unload is expected to be done once its runs have ended, in seconds.
UNLOAD_S = 0.1


class CopyState(Enum):
    """The life of a model's copy. A withdrawn copy gets no new requests and is unloaded next."""

    LOADING = "loading"
    LIVE = "live"
    WITHDRAWN = "withdrawn"
    UNLOADING = "unloading"


@dataclass
class ModelCopy:
    """A copy of a model. ``since`` is the time of its last change of state, ``due`` the expected
    time of completion of a load or unload. ``room_for`` is the model that a withdrawn copy makes
    room for.
    """

    state: CopyState
    since: float
    due: float = 0.0
    room_for: str = ""


class EngineBook:
    """Orders to one engine, one at a time, and what they leave behind.

    Orders are given from ``open_at`` on; the last order of an earlier coordinator arrived by
    ``last_order_at``. The book is ready once a report was read that no earlier order can
    contradict. An order without an answer counts as carried out until the engine's report says
    otherwise. Every order carries the number of orders accepted before it, so that at most one of
    two competing orders is obeyed.
    """

    def __init__(
        self, entry: UpstreamEntry, spec: EngineSpec, last_order_at: float, open_at: float
    ) -> None:
        self.entry = entry
        self.spec = spec
        self.copies: dict[str, ModelCopy] = {}
        self.adapters: dict[tuple[str, str], float] = {}
        self.used_at: dict[tuple[str, str], float] = {}
        # Models that load faster than from the weight store, by the last entry or report.
        self.in_host_memory = entry.in_host_memory
        self.on_disk = entry.on_disk
        self.pending: FleetOrder | None = None
        self.count = 0
        self.synced = False
        self.last_order_at = last_order_at
        self._open_at = open_at
        self._repeats = 0
        # A report proves what it says only if it was read this long after the last order that may
        # have been sent, by this coordinator or an earlier one.
        self._quiet_since = last_order_at
        self._asked_at = float("-inf")
        self._doubt = 0.0
        self._doubted_at = float("-inf")

    # Views

    @property
    def instance(self) -> str:
        """The incarnation's id."""
        return self.entry.instance

    def is_ready(self, now: float) -> bool:
        """Whether an order may be given now."""
        return self.synced and self.pending is None and now >= self._open_at

    @property
    def is_changing(self) -> bool:
        """Whether a model is being loaded or unloaded, or is about to be unloaded."""
        return any(copy.state is not CopyState.LIVE for copy in self.copies.values())

    @property
    def is_moving(self) -> bool:
        """Whether a model is being loaded or unloaded. The engine takes no other order then."""
        moving = (CopyState.LOADING, CopyState.UNLOADING)
        return any(copy.state in moving for copy in self.copies.values())

    def live(self, model: str) -> bool:
        """Whether requests for a model may be sent."""
        copy = self.copies.get(model)
        return copy is not None and copy.state is CopyState.LIVE

    @property
    def used_mb(self) -> float:
        """Memory of all copies, those under way and withdrawn included, and all adapter slots."""
        models = self.spec.models
        used = sum(models[name].weights_mb for name in self.copies if name in models)
        return used + self.spec.adapter_reserve_mb

    @property
    def free_mb(self) -> float:
        """Memory for another model."""
        return self.spec.weights_mb - self.used_mb

    @property
    def free_slots(self) -> int:
        """Places for another adapter."""
        return self.spec.adapter_slots - len(self.adapters)

    def recent_adapters(self, now: float) -> int:
        """Return how many adapters were used a short time ago."""
        return sum(now - self.used_at.get(pair, -RECENT_S) < RECENT_S for pair in self.adapters)

    def load_s(self, model: str) -> float:
        """Return how long a load of a model takes here."""
        spec = self.spec.models[model]
        if model in self.in_host_memory:
            return spec.memory_load_s
        return spec.disk_load_s if model in self.on_disk else spec.load_s

    def is_cold(self, model: str) -> bool:
        """Whether a load of a model here takes a load from the weight store."""
        return model not in self.in_host_memory and model not in self.on_disk

    # Orders

    def begin(self, order: FleetOrder, now: float) -> None:
        """Take that an order is about to be sent."""
        self.pending = order
        self.last_order_at = now + ORDER_ARRIVES_S
        self._repeats = 0
        match order.kind:
            case OrderKind.LOAD_MODEL:
                due = now + self.load_s(order.model)
                self.copies[order.model] = ModelCopy(CopyState.LOADING, now, due)
            case OrderKind.LOAD_ADAPTER:
                self.adapters[order.model, order.adapter] = float("inf")
                self.used_at[order.model, order.adapter] = now
            case OrderKind.UNLOAD_MODEL:
                self.copies[order.model] = ModelCopy(CopyState.UNLOADING, now, now + UNLOAD_S)
            case OrderKind.UNLOAD_ADAPTER:
                self.adapters[order.model, order.adapter] = float("inf")

    def settle(self, answer: OrderAnswer, now: float) -> FleetOrder | None:
        """Take the answer to the pending order; return it where it is to be sent again."""
        order, self.pending = self.pending, None
        assert order is not None
        self._quiet_since = now
        if answer is OrderAnswer.UNKNOWN:
            self._repeats += 1
            if self._repeats <= MAX_REPEATS:
                self.pending = order
                self.last_order_at = now + ORDER_ARRIVES_S
                return order
            self._lose_track(now)
            return None
        if not self._repeats:
            self.last_order_at = now
        if answer is OrderAnswer.OTHER_INSTANCE:
            self.note_doubt(DOUBT_LIMIT, now)
        if answer not in (OrderAnswer.ACCEPTED, OrderAnswer.HOLDS):
            self._lose_track(now)
            return None
        if answer is OrderAnswer.ACCEPTED or order.kind is OrderKind.UNLOAD_ADAPTER:
            self.count = max(self.count, order.expected_count + 1)
        match order.kind:
            case OrderKind.LOAD_ADAPTER:
                self.adapters[order.model, order.adapter] = now + ADAPTER_LOAD_S
            case OrderKind.UNLOAD_ADAPTER if answer is OrderAnswer.HOLDS:
                self.adapters.pop((order.model, order.adapter), None)
            case OrderKind.UNLOAD_ADAPTER:
                # Its runs have to end first. The place counts as taken until the next report.
                self.adapters[order.model, order.adapter] = float("inf")
            case OrderKind.LOAD_MODEL if answer is OrderAnswer.HOLDS:
                self.copies[order.model] = ModelCopy(CopyState.LIVE, now)
        return None

    def note_doubt(self, weight: float, now: float) -> None:
        """Take a sign that the engine is gone although it is still registered."""
        if now - self._doubted_at > DOUBT_FOR_S:
            self._doubt = 0.0
        self._doubt += weight
        self._doubted_at = now

    def is_doubtful(self, now: float) -> bool:
        """Whether the engine is taken for gone."""
        return self._doubt >= DOUBT_LIMIT and now - self._doubted_at <= DOUBT_FOR_S

    def withdraw(self, model: str, room_for: str, now: float) -> None:
        """Stop sending requests to a copy that is to be unloaded."""
        self.copies[model] = ModelCopy(CopyState.WITHDRAWN, now, room_for=room_for)

    def restore(self, model: str, now: float) -> None:
        """Take back the withdrawal of a copy."""
        self.copies[model] = ModelCopy(CopyState.LIVE, now)

    # Evidence

    def wants_report(self, now: float) -> bool:
        """Whether the engine's report is to be read now."""
        if self.pending is not None or now - self._asked_at < REPORT_LAG_S:
            return False
        if not self.synced:
            return now >= self._quiet_since + REPORT_LAG_S
        return any(
            copy.due and now >= copy.due + OVERDUE_S
            for copy in self.copies.values()
            if copy.state in (CopyState.LOADING, CopyState.UNLOADING)
        )

    def note_asked(self, now: float) -> None:
        """Take that the report is asked for now."""
        self._asked_at = now

    def take_entry(self, entry: UpstreamEntry, now: float) -> None:
        """Take a registry entry, which an engine writes when a model was loaded or unloaded."""
        before, self.entry = self.entry, entry
        self.in_host_memory, self.on_disk = entry.in_host_memory, entry.on_disk
        if not self.synced:
            return
        for model in set(before.residents) | set(entry.residents):
            copy = self.copies.get(model)
            if copy is None:
                continue
            loaded = model in entry.residents and model not in before.residents
            if copy.state is CopyState.LOADING and loaded:
                self.copies[model] = ModelCopy(CopyState.LIVE, now)
            # An entry may be older than the load of the copy; only a change proves the unload.
            unloaded = model in before.residents and model not in entry.residents
            if copy.state is CopyState.UNLOADING and unloaded:
                self._drop(model)

    def take_report(self, report: EngineReport, asked_at: float, now: float) -> bool:
        """Take a report that was asked for at ``asked_at``; return whether it was used."""
        if self.pending is not None or asked_at < self._quiet_since + REPORT_LAG_S:
            return False
        if report.order_in_progress and not self.is_moving:
            # An earlier coordinator's load is not among the residents yet, but takes its memory.
            return False
        self.count = report.accepted_orders
        self.synced = True
        # The registry may be away, so that the entry still lists copies that have given way since.
        self.in_host_memory, self.on_disk = report.in_host_memory, report.on_disk
        for model in list(self.copies):
            copy = self.copies[model]
            if model in report.residents:
                if copy.state is CopyState.LOADING or (
                    copy.state is CopyState.UNLOADING and not report.order_in_progress
                ):
                    self.copies[model] = ModelCopy(CopyState.LIVE, now)
            elif not report.order_in_progress or copy.state is not CopyState.LOADING:
                self._drop(model)
        for model in report.residents:
            self.copies.setdefault(model, ModelCopy(CopyState.LIVE, now))
        held = {(model, name) for model, names in report.residents.items() for name in names}
        coming = {pair for pair in report.adapters_in_transit if len(pair) == 2}
        self.adapters = {
            **{pair: now + ADAPTER_LOAD_S for pair in coming},
            **{pair: min(self.adapters.get(pair, now), now) for pair in held},
        }
        return True

    def note_declined(self, now: float) -> None:
        """Take that a request was declined for a model or adapter that should be there."""
        self._lose_track(now)

    def _lose_track(self, now: float) -> None:
        """Read the report before the next order."""
        self.synced = False
        self._quiet_since = max(self._quiet_since, now)

    def _drop(self, model: str) -> None:
        self.copies.pop(model, None)
        for pair in [pair for pair in self.adapters if pair[0] == model]:
            del self.adapters[pair]
