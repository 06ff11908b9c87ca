"""Execution of moves: reservation of loads and unloads, and handling of their outcomes."""

from collections.abc import Iterable

from .adapter_placement import place_adapter
from .area_state import AreaState, Copy, Load, Unload, UpstreamState
from .engine import Item, ItemKind, OrderKind, Resident
from .pacer import LoadPacer
from .plan_view import Move, MoveKind
from .record import Reservation

__all__ = ["MoveRunner"]

# Time without new requests before a copy is unloaded, so that every node learns that the copy is
# being removed. The time is shorter for adapters: a node that still uses one gets a refusal and
# has it loaded again.
MODEL_DRAIN_S = 3.0
ADAPTER_DRAIN_S = 0.25
FIRST_BACKOFF_S = 2.0
MAX_BACKOFF_S = 60.0
# Bounds the record writes and the processor time per plan.
PRELOADS_PER_PLAN = 8
# Pending demand is dropped after this time without a request.
PENDING_DEMAND_TIMEOUT_S = 30.0


class MoveRunner:
    """Executor that starts moves and tracks them until the ledger has resolved them."""

    def __init__(self, area: AreaState) -> None:
        self._area = area
        self._count = 0
        self.loads_done = 0
        self.unloads_done = 0
        self.loads_failed = 0

    def clear(self) -> None:
        """Drop all moves in progress. Orders that were sent remain in the stored records."""
        self._area.loads.clear()
        self._area.unloads.clear()

    def next_order_id(self) -> str:
        """Return an order id that is unique across all processes."""
        self._count += 1
        return f"{self._area.instance}-{self._count}"

    def start_moves(self, moves: Iterable[Move], pacer: LoadPacer, now: float) -> bool:
        """Start the moves of a plan; return whether all of them were started.

        A load that exceeds the load rate of the weight store, or whose engine is not fenced, is
        deferred to a later plan.
        """
        complete = True
        for move in moves:
            copy = Copy(move.upstream, move.item)
            if move.kind is MoveKind.UNLOAD:
                self.start_unload(copy, move.reason, now)
            elif not self.start_load(copy, move.memory_mib, pacer, now):
                complete = False
        return complete

    def start_load(self, copy: Copy, memory_mib: int, pacer: LoadPacer, now: float) -> bool:
        """Reserve memory for a load; return whether it was started."""
        state = self._area.upstreams.get(copy.upstream)
        kind = copy.item.kind
        if state is None or copy in self._area.loads or self._area.is_backing_off(copy, now):
            return False
        if not pacer.may_start(kind, self._area.in_transit(kind, now), now):
            return False
        order_id = self.next_order_id()
        item = copy.item
        # Marked even if the reservation fails, because the engine may have to be fenced first.
        self._area.dirty_upstreams.add(copy.upstream)
        reserved = state.ledger.reserve(
            OrderKind.load(kind), item.name, item.version, memory_mib, order_id
        )
        if reserved.is_err():
            return False
        pacer.start(kind, now)
        self._area.loads[copy] = Load(order_id, now)
        return True

    def start_unload(self, copy: Copy, reason: str, now: float) -> None:
        """Stop routing new requests to a copy; ``advance`` unloads it once it is idle."""
        self._area.unloads.setdefault(copy, Unload(now, reason))

    def serve_pending_demand(self, pacer: LoadPacer, now: float) -> None:
        """Load the adapters that requests wait for, those with urgent requests first.

        Pending demand that is satisfied or has expired is dropped. Models need no action here,
        because the planner places every model.
        """
        pending_demand = self._area.pending_demand
        order = sorted(
            pending_demand,
            key=lambda name: (not pending_demand[name].urgent, pending_demand[name].since_s),
        )
        for name in order:
            desired = self._area.desired_item(name)
            expired = now > pending_demand[name].last_s + PENDING_DEMAND_TIMEOUT_S
            if desired is None or expired or self._area.copies_of(name, now):
                del pending_demand[name]
            elif desired[0].kind is ItemKind.ADAPTER:
                self.load_requested_adapter(*desired, pacer, now)

    def preload_adapters(self, pacer: LoadPacer, now: float) -> None:
        """Load adapters without a copy into free memory, ``PRELOADS_PER_PLAN`` at a time.

        No load can be reserved while the object API is down, so only adapters that are resident by
        then can be used during the outage. Preloads evict nothing and yield to model loads. They
        are suspended while memory is being freed, because that memory is intended for another copy.
        """
        area, deployment = self._area, self._area.deployment
        if deployment is None or area.pending_demand or area.unloads:
            return
        if area.in_transit(ItemKind.MODEL, now):
            return
        left = PRELOADS_PER_PLAN
        loading = {i.name for s in self._area.available(now) for i in s.pending_loads()}
        for adapter in deployment.adapters.values():
            desired = self._area.desired_item(adapter.name)
            if (
                desired is None
                or adapter.name in loading
                or self._area.copies_of(adapter.name, now)
            ):
                continue
            placement = place_adapter(self._area, *desired, adapter.base, now)
            if placement is not None and placement.fits:
                left -= self.start_load(
                    Copy(placement.upstream, desired[0]), desired[1], pacer, now
                )
            if left == 0:
                return

    def load_requested_adapter(
        self, item: Item, memory_mib: int, pacer: LoadPacer, now: float
    ) -> None:
        """Load an adapter that a request waits for, or free memory for it."""
        deployment = self._area.deployment
        assert deployment is not None
        if any(i.name == item.name for s in self._area.available(now) for i in s.pending_loads()):
            return
        base = deployment.adapters[item.name].base
        placement = place_adapter(self._area, item, memory_mib, base, now)
        if placement is None:
            return
        for victim in placement.evict:
            self.start_unload(victim, f"room for {item.name}", now)
        if placement.fits:
            self.start_load(Copy(placement.upstream, item), memory_mib, pacer, now)

    def advance(self, now: float) -> None:
        """Reserve the unload of retiring copies that are idle."""
        for copy, unload in list(self._area.unloads.items()):
            state = self._area.upstreams.get(copy.upstream)
            if state is None:
                del self._area.unloads[copy]
            elif not unload.order_id and state.ledger.is_ready:
                self._advance_unload(copy, unload, state, now)

    def mark_recorded(self, state: UpstreamState, reservations: Iterable[Reservation]) -> None:
        """Mark the moves whose reservations have been written to the record."""
        recorded = {r.order_id for r in reservations}
        for _, move in self._moves_of(state):
            move.recorded = move.recorded or move.order_id in recorded

    def drop_unrecorded(self, state: UpstreamState) -> None:
        """Cancel the moves whose reservations were not written.

        A later plan may start them again. An unload stays selected but loses its order id.
        """
        for copy, move in self._moves_of(state):
            if move.recorded or not move.order_id:
                continue
            if isinstance(move, Load):
                del self._area.loads[copy]
            else:
                move.order_id = ""

    def close_resolved(self, state: UpstreamState, now: float) -> bool:
        """Close the moves that the ledger has resolved; return whether there were any."""
        if state.ledger.draft is None or state.ledger.status is None:
            return False
        unresolved = {r.order_id for r in state.ledger.reservations}
        closed = False
        for copy, move in self._moves_of(state):
            resident = state.is_resident(copy.item)
            if isinstance(move, Load):
                if move.order_id not in unresolved:
                    del self._area.loads[copy]
                    self._close_load(copy, resident, now)
                    closed = True
            elif move.order_id not in unresolved and (move.order_id or not resident):
                del self._area.unloads[copy]
                self.unloads_done += not resident
                self._area.loaded_s.pop(copy, None)
                closed = True
        return closed

    def _close_load(self, copy: Copy, resident: bool, now: float) -> None:
        if resident:
            self.loads_done += 1
            self._area.loaded_s[copy] = now
            self._area.failures.pop(copy, None)
            return
        self.loads_failed += 1
        count, _ = self._area.failures.get(copy, (0, 0.0))
        backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**count)
        self._area.failures[copy] = (count + 1, now + backoff_s)

    def _advance_unload(self, copy: Copy, unload: Unload, state: UpstreamState, now: float) -> None:
        item, area = copy.item, self._area
        if not self._has_other_copy(copy, now):
            del area.unloads[copy]
            return
        if not self._is_idle(copy, unload, state):
            return
        if any(r.item == item for r in state.ledger.reservations):
            return
        dependents = self._dependent_adapters(copy, state)
        for dependent in dependents:
            self.start_unload(
                Copy(copy.upstream, dependent.item),
                f"base {item.name} leaves",
                now,
            )
        if dependents:
            return
        order_id = self.next_order_id()
        kind = OrderKind.unload(item.kind)
        if state.ledger.reserve(kind, item.name, item.version, 0, order_id).is_ok():
            unload.order_id = order_id
            self._area.dirty_upstreams.add(copy.upstream)

    def _has_other_copy(self, copy: Copy, now: float) -> bool:
        """Return whether a model has another serving copy on any upstream.

        Adapters may always lose a copy.
        """
        deployment = self._area.deployment
        name = copy.item.name
        if deployment is None or name not in deployment.models:
            return deployment is not None
        return any(other != copy for other in self._area.serving_copies(name, now))

    def _is_idle(self, copy: Copy, unload: Unload, state: UpstreamState) -> bool:
        drain_s = ADAPTER_DRAIN_S if copy.item.kind is ItemKind.ADAPTER else MODEL_DRAIN_S
        if state.ledger.status_read_s < unload.since_s + drain_s:
            return False
        status = state.ledger.status
        assert status is not None
        for resident in status.residents:
            if resident.item == copy.item and resident.running is not None:
                return resident.running == 0
        # Without a reported count, rely on the engine: it finishes the running requests of a copy
        # before it frees the memory.
        return True

    def _dependent_adapters(self, copy: Copy, state: UpstreamState) -> list[Resident]:
        """Return the adapters on an upstream whose base model is resident only as this copy."""
        deployment = self._area.deployment
        item = copy.item
        if deployment is None or item.kind is not ItemKind.MODEL:
            return []
        for resident in state.residents():
            other = resident.item
            if other.kind is ItemKind.MODEL and other.name == item.name and other != item:
                return []
        return [
            r
            for r in state.residents()
            if r.item.kind is ItemKind.ADAPTER
            and deployment.base_model_of(r.item.name) == item.name
        ]

    def _moves_of(self, state: UpstreamState) -> list[tuple[Copy, Load | Unload]]:
        name = state.upstream.name
        moves: list[tuple[Copy, Load | Unload]] = []
        moves += [(c, m) for c, m in self._area.loads.items() if c.upstream == name]
        moves += [(c, m) for c, m in self._area.unloads.items() if c.upstream == name]
        return moves
