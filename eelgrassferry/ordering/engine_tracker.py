"""Tracked state of one engine process, including the effects of orders in progress."""

from dataclasses import dataclass
from enum import Enum

from ..dispatch import CoordinatorResidency
from ..fleet import EngineSpec, UpstreamEntry
from ..placement import OrderKind
from .engine_report import EngineReport
from .fleet_order import FleetOrder, OrderAnswer

__all__ = ["CopyState", "EngineTracker", "ModelCopy"]

# An order arrives within this time after the decision, in seconds: it is sent within the answer
# timeout of 0.35 s and is in transit for at most 0.4 s.
MAX_ORDER_DELAY_S = 0.75
# A report may be out of date by up to this time, in seconds.
REPORT_LAG_S = 0.35
# Expected time from the accepted order until an adapter is usable while few are in transit, in
# seconds.
ADAPTER_LOAD_S = 0.008
# An unanswered order is sent again with the same count up to this often, then the report is read.
MAX_REPEATS = 2
# The report is read once a load or unload is overdue by this time, in seconds.
OVERDUE_S = 0.25
# A registration outlives its engine by up to three heartbeats. An engine is treated as failed
# earlier if evidence from requests reaches this total weight, each sign coming within the window
# in seconds of the one before.
SUSPICION_LIMIT = 2.0
SUSPICION_WINDOW_S = 2.5
# An adapter that was used within this time, in seconds, makes loads of further adapters of its
# model likely.
RECENT_USE_S = 1.5
# Expected duration of an unload after the last request on the copy has ended, in seconds.
UNLOAD_S = 0.1


class CopyState(Enum):
    """State of a model copy. A withdrawn copy gets no new requests and is unloaded next."""

    LOADING = "loading"
    LIVE = "live"
    WITHDRAWN = "withdrawn"
    UNLOADING = "unloading"


@dataclass
class ModelCopy:
    """Copy of a model on an engine.

    ``since`` is the time of the last change of state, and ``due`` the expected completion time of a
    load or unload. ``replaced_by`` is the model for which a withdrawn copy frees memory.
    """

    state: CopyState
    since: float
    due: float = 0.0
    replaced_by: str = ""


class EngineTracker:
    """Tracks one engine process and the orders to it, one at a time.

    No order is sent before ``orders_allowed_at``. ``last_order_at`` is the latest time at which the
    last order, of this or an earlier coordinator, can have arrived. ``has_ordered`` is set once
    this coordinator has sent one. The tracker is ready once a report was read that is newer than
    every earlier order. An unanswered order counts as executed until a report contradicts it. Every
    order carries the number of orders accepted before it, so that the engine accepts at most one of
    two competing orders.

    ``adapters`` maps (model, adapter) pairs to the time from which the adapter is usable, infinity
    if that is not known. ``order_count`` is the number of orders that the engine has accepted.
    ``synced`` is false while a report must be read before the next order.
    """

    def __init__(
        self, entry: UpstreamEntry, spec: EngineSpec, last_order_at: float, orders_allowed_at: float
    ) -> None:
        self.entry = entry
        self.spec = spec
        self._weights_mb = {name: model.weights_mb for name, model in spec.models.items()}
        self.copies: dict[str, ModelCopy] = {}
        self.adapters: dict[tuple[str, str], float] = {}
        self.used_at: dict[tuple[str, str], float] = {}
        # Models with local weights, from the last registry entry or report.
        self.in_host_memory = entry.in_host_memory
        self.on_disk = entry.on_disk
        self.pending: FleetOrder | None = None
        self.order_count = 0
        self.synced = False
        self.last_order_at = last_order_at
        self.has_ordered = False
        self._orders_allowed_at = orders_allowed_at
        self._repeats = 0
        # A report is used only if it was requested at least ``REPORT_LAG_S`` after this time, the
        # latest at which an order of this or an earlier coordinator may have arrived.
        self._no_order_since = last_order_at
        self._report_requested_at = float("-inf")
        self._suspicion = 0.0
        self._suspected_at = float("-inf")

    def set_spec(self, spec: EngineSpec) -> None:
        """Set the parameters of the engine, as of the current configuration."""
        if spec is self.spec:
            return
        self.spec = spec
        self._weights_mb.update((name, model.weights_mb) for name, model in spec.models.items())

    # Views

    @property
    def instance(self) -> str:
        """Id of the engine process."""
        return self.entry.instance

    def is_ready(self, now: float) -> bool:
        """Return whether an order may be sent now."""
        return self.synced and self.pending is None and now >= self._orders_allowed_at

    @property
    def is_changing(self) -> bool:
        """Whether a model is being loaded or unloaded, or is withdrawn."""
        return any(copy.state is not CopyState.LIVE for copy in self.copies.values())

    @property
    def is_loading_or_unloading(self) -> bool:
        """Whether a model is being loaded or unloaded; the engine then accepts no other order."""
        transitional = (CopyState.LOADING, CopyState.UNLOADING)
        return any(copy.state in transitional for copy in self.copies.values())

    def is_live(self, model: str) -> bool:
        """Return whether requests for a model may be sent to this engine."""
        copy = self.copies.get(model)
        return copy is not None and copy.state is CopyState.LIVE

    @property
    def used_mb(self) -> float:
        """Memory of all copies in any state and of all adapter slots, in MB."""
        used = sum(self.weights_mb(model) for model in self.copies)
        return used + self.spec.adapter_reserve_mb

    def weights_mb(self, model: str) -> float:
        """Return the memory of a model, in MB, also of one that the configuration has removed.

        A model that no configuration has contained is assumed to be as large as the largest one.
        """
        known = self._weights_mb.get(model)
        return max(self._weights_mb.values(), default=0.0) if known is None else known

    @property
    def free_mb(self) -> float:
        """Memory available for another model, in MB."""
        return self.spec.weights_mb - self.used_mb

    @property
    def free_slots(self) -> int:
        """Number of free adapter slots."""
        return self.spec.adapter_slots - len(self.adapters)

    def recent_adapters(self, now: float) -> int:
        """Return the number of adapters used within ``RECENT_USE_S``."""
        return sum(
            now - self.used_at.get(pair, -RECENT_USE_S) < RECENT_USE_S for pair in self.adapters
        )

    def load_s(self, model: str) -> float:
        """Return the expected duration of a load of a model here, in seconds."""
        return self.spec.models[model].load_time_s(self.in_host_memory, self.on_disk)

    def is_cold(self, model: str) -> bool:
        """Return whether a model would be loaded here from the weight store."""
        return model not in self.in_host_memory and model not in self.on_disk

    # Orders

    def begin_order(self, order: FleetOrder, now: float) -> None:
        """Set the pending order, which is about to be sent, and apply its expected effect."""
        self.pending = order
        self.has_ordered = True
        self.last_order_at = now + MAX_ORDER_DELAY_S
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

    def on_answer(self, answer: OrderAnswer, now: float) -> FleetOrder | None:
        """Process the answer to the pending order; return the order if it is to be sent again."""
        order, self.pending = self.pending, None
        assert order is not None
        self._no_order_since = now
        if answer is OrderAnswer.UNKNOWN:
            self._repeats += 1
            if self._repeats <= MAX_REPEATS:
                self.pending = order
                self.last_order_at = now + MAX_ORDER_DELAY_S
                return order
            self._require_report(now)
            return None
        if not self._repeats:
            self.last_order_at = now
        if answer is OrderAnswer.OTHER_INSTANCE:
            self.record_suspicion(SUSPICION_LIMIT, now)
        if answer not in (OrderAnswer.ACCEPTED, OrderAnswer.HOLDS):
            self._require_report(now)
            return None
        if answer is OrderAnswer.ACCEPTED or order.kind is OrderKind.UNLOAD_ADAPTER:
            self.order_count = max(self.order_count, order.expected_count + 1)
        match order.kind:
            case OrderKind.LOAD_ADAPTER:
                self.adapters[order.model, order.adapter] = now + ADAPTER_LOAD_S
            case OrderKind.UNLOAD_ADAPTER if answer is OrderAnswer.HOLDS:
                self.adapters.pop((order.model, order.adapter), None)
            case OrderKind.UNLOAD_ADAPTER:
                # The adapter's requests must end first, so its slot is occupied until a report.
                self.adapters[order.model, order.adapter] = float("inf")
            case OrderKind.LOAD_MODEL if answer is OrderAnswer.HOLDS:
                self.copies[order.model] = ModelCopy(CopyState.LIVE, now)
        return None

    def assume_residency(self, known: CoordinatorResidency, now: float) -> None:
        """Assume the state that an earlier coordinator has published, until a report was read.

        Requests go on to what is loaded, and loads in progress are not ordered again elsewhere.
        """
        models = self.spec.models
        for model in known.live & models.keys():
            self.copies[model] = ModelCopy(CopyState.LIVE, float("-inf"))
        for model, due in known.loading.items():
            if model in models:
                self.copies[model] = ModelCopy(CopyState.LOADING, now, due)
        for model, names in known.adapters.items():
            self.adapters.update(((model, name), now) for name in names)

    def record_suspicion(self, weight: float, now: float) -> None:
        """Record evidence that the engine has failed although it is still registered."""
        if now - self._suspected_at > SUSPICION_WINDOW_S:
            self._suspicion = 0.0
        self._suspicion += weight
        self._suspected_at = now

    def is_suspected(self, now: float) -> bool:
        """Return whether the engine is treated as failed."""
        return self._suspicion >= SUSPICION_LIMIT and now - self._suspected_at <= SUSPICION_WINDOW_S

    def withdraw(self, model: str, replaced_by: str, now: float) -> None:
        """Stop sending requests to a copy that is to be unloaded."""
        self.copies[model] = ModelCopy(CopyState.WITHDRAWN, now, replaced_by=replaced_by)

    def restore(self, model: str, now: float) -> None:
        """Resume sending requests to a withdrawn copy."""
        self.copies[model] = ModelCopy(CopyState.LIVE, now)

    # Reports and registry entries

    def needs_report(self, now: float) -> bool:
        """Return whether the engine's report should be read now."""
        if self.pending is not None or now - self._report_requested_at < REPORT_LAG_S:
            return False
        if not self.synced:
            return now >= self._no_order_since + REPORT_LAG_S
        return any(
            copy.due and now >= copy.due + OVERDUE_S
            for copy in self.copies.values()
            if copy.state in (CopyState.LOADING, CopyState.UNLOADING)
        )

    def record_report_request(self, now: float) -> None:
        """Record that the report is requested at ``now``."""
        self._report_requested_at = now

    def apply_entry(self, entry: UpstreamEntry, now: float) -> None:
        """Apply a registry entry, which an engine writes after loading or unloading a model."""
        previous, self.entry = self.entry, entry
        self.in_host_memory, self.on_disk = entry.in_host_memory, entry.on_disk
        if not self.synced:
            return
        for model in set(previous.residents) | set(entry.residents):
            copy = self.copies.get(model)
            if copy is None:
                continue
            loaded = model in entry.residents and model not in previous.residents
            if copy.state is CopyState.LOADING and loaded:
                self.copies[model] = ModelCopy(CopyState.LIVE, now)
            # An entry may predate the load of the copy, so only a change proves the unload.
            unloaded = model in previous.residents and model not in entry.residents
            if copy.state is CopyState.UNLOADING and unloaded:
                self._remove_copy(model)

    def apply_report(self, report: EngineReport, requested_at: float, now: float) -> bool:
        """Apply a report that was requested at ``requested_at``; return whether it was used."""
        if self.pending is not None or requested_at < self._no_order_since + REPORT_LAG_S:
            return False
        if report.order_in_progress and not self._knows_order_in_progress(report):
            # A load of an earlier coordinator occupies memory but is not among the residents yet.
            return False
        self.order_count = report.accepted_orders
        self.synced = True
        # While the registry is unavailable, the entry may list weights that were deleted since.
        self.in_host_memory, self.on_disk = report.in_host_memory, report.on_disk
        for model in list(self.copies):
            copy = self.copies[model]
            if model in report.residents:
                if copy.state is CopyState.LOADING or (
                    copy.state is CopyState.UNLOADING and not report.order_in_progress
                ):
                    self.copies[model] = ModelCopy(CopyState.LIVE, now)
            elif not report.order_in_progress or copy.state is not CopyState.LOADING:
                self._remove_copy(model)
        for model in report.residents:
            self.copies.setdefault(model, ModelCopy(CopyState.LIVE, now))
        resident_adapters = {
            (model, name) for model, names in report.residents.items() for name in names
        }
        in_transit = {pair for pair in report.adapters_in_transit if len(pair) == 2}
        self.adapters = {
            **{pair: now + ADAPTER_LOAD_S for pair in in_transit},
            **{pair: min(self.adapters.get(pair, now), now) for pair in resident_adapters},
        }
        return True

    def _knows_order_in_progress(self, report: EngineReport) -> bool:
        """Return whether the order that a report shows in progress may be one that is tracked.

        A tracked load has ended if its model is resident, and an unload if it is not.
        """
        return any(
            copy.state is (CopyState.UNLOADING if model in report.residents else CopyState.LOADING)
            for model, copy in self.copies.items()
        )

    def on_declined(self, now: float) -> None:
        """React to a request declined because its model or adapter was not loaded as expected."""
        self._require_report(now)

    def _require_report(self, now: float) -> None:
        """Send no further order before a new report was applied."""
        self.synced = False
        self._no_order_since = max(self._no_order_since, now)

    def _remove_copy(self, model: str) -> None:
        self.copies.pop(model, None)
        for pair in [pair for pair in self.adapters if pair[0] == model]:
            del self.adapters[pair]
