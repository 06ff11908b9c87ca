"""Carries moves out: reservations for loads and unloads, and what came of them."""

from collections.abc import Iterable

from .adapter_place import place_adapter
from .area_state import AreaState, Copy, Load, Unload, UpstreamState
from .engine import Item, ItemKind, OrderKind, Resident
from .pacer import LoadPacer
from .record import Reservation
from .view import Move, MoveKind

__all__ = ["MoveRunner"]

# Time for which a copy gets no new work before it is unloaded, so that every node has heard of
# it. A node that uses an adapter a moment too late gets a refusal and loads it again.
MODEL_RETIRE_S = 3.0
ADAPTER_RETIRE_S = 0.25
FIRST_BACKOFF_S = 2.0
MAX_BACKOFF_S = 60.0
# Bounds the record writes and the processor time of one plan.
PRELOADS_PER_PLAN = 8
# A want is dropped when no request has asked for it for this long.
WANT_S = 30.0


class MoveRunner:
    """Starts moves and follows them until the ledger has settled them."""

    def __init__(self, area: AreaState) -> None:
        self._area = area
        self._count = 0
        self.loads_done = 0
        self.unloads_done = 0
        self.failed = 0

    def clear(self) -> None:
        """Drop all moves under way; what was sent stays in the records."""
        self._area.loads.clear()
        self._area.unloads.clear()

    def next_order_id(self) -> str:
        """Return an id that no other order of any process has."""
        self._count += 1
        return f"{self._area.instance}-{self._count}"

    def start_all(self, moves: Iterable[Move], pacer: LoadPacer, now: float) -> bool:
        """Start the planner's moves; return whether all could be started.

        A load beyond the store's pace, or on an engine that is not fenced, is left to a later plan.
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
        if state is None or copy in self._area.loads or self._area.is_barred(copy, now):
            return False
        if not pacer.may_start(kind, self._area.in_transit(kind, now), now):
            return False
        order_id = self.next_order_id()
        item = copy.item
        # Touched also where the reservation fails, because the engine may have to be fenced first.
        self._area.touched.add(copy.upstream)
        made = state.ledger.reserve(
            OrderKind.load(kind), item.name, item.version, memory_mib, order_id
        )
        if made.is_err():
            return False
        pacer.start(kind, now)
        self._area.loads[copy] = Load(order_id, now)
        return True

    def start_unload(self, copy: Copy, reason: str, now: float) -> None:
        """Give a copy no new work; ``advance`` unloads it once it is idle."""
        self._area.unloads.setdefault(copy, Unload(now, reason))

    def serve_wants(self, pacer: LoadPacer, now: float) -> None:
        """Drop wants that are met or old, and load wanted adapters, urgent ones first.

        A wanted model needs nothing here, because the planner places every model.
        """
        wants = self._area.wants
        order = sorted(wants, key=lambda name: (not wants[name].urgent, wants[name].since_s))
        for name in order:
            known = self._area.item_of(name)
            old = now > wants[name].last_s + WANT_S
            if known is None or old or self._area.copies_of(name, now):
                del wants[name]
            elif known[0].kind is ItemKind.ADAPTER:
                self.want_adapter(*known, pacer, now)

    def preload_adapters(self, pacer: LoadPacer, now: float) -> None:
        """Load adapters that have no copy into free memory, a few for each plan.

        While the object API is down no load can be reserved, so what is resident by then is what
        stays reachable. Nothing is evicted for a preload, and model loads go first. Memory that is
        being freed is meant for a wanted copy, so nothing is preloaded meanwhile.
        """
        area, deployment = self._area, self._area.deployment
        if deployment is None or area.wants or area.unloads:
            return
        if area.in_transit(ItemKind.MODEL, now):
            return
        left = PRELOADS_PER_PLAN
        loading = {i.name for s in self._area.available(now) for i in s.loading()}
        for adapter in deployment.adapters.values():
            known = self._area.item_of(adapter.name)
            if known is None or adapter.name in loading or self._area.copies_of(adapter.name, now):
                continue
            place = place_adapter(self._area, *known, adapter.base, now)
            if place is not None and place.fits:
                left -= self.start_load(Copy(place.upstream, known[0]), known[1], pacer, now)
            if left == 0:
                return

    def want_adapter(self, item: Item, memory_mib: int, pacer: LoadPacer, now: float) -> None:
        """Load an adapter that a request waits for, or make room for it."""
        deployment = self._area.deployment
        assert deployment is not None
        if any(i.name == item.name for s in self._area.available(now) for i in s.loading()):
            return
        base = deployment.adapters[item.name].base
        place = place_adapter(self._area, item, memory_mib, base, now)
        if place is None:
            return
        for victim in place.evict:
            self.start_unload(victim, f"room for {item.name}", now)
        if place.fits:
            self.start_load(Copy(place.upstream, item), memory_mib, pacer, now)

    def advance(self, now: float) -> None:
        """Order the unload of copies that are idle."""
        for copy, unload in list(self._area.unloads.items()):
            state = self._area.upstreams.get(copy.upstream)
            if state is None:
                del self._area.unloads[copy]
            elif not unload.order_id and state.ledger.is_ready:
                self._advance_unload(copy, unload, state, now)

    def note_recorded(self, state: UpstreamState, made: Iterable[Reservation]) -> None:
        """Note moves whose reservation is in the record."""
        recorded = {r.order_id for r in made}
        for _, move in self._moves_of(state):
            move.recorded = move.recorded or move.order_id in recorded

    def drop_unrecorded(self, state: UpstreamState) -> None:
        """Forget moves whose reservation was not written; the next plan decides anew."""
        for copy, move in self._moves_of(state):
            if move.recorded or not move.order_id:
                continue
            if isinstance(move, Load):
                del self._area.loads[copy]
            else:
                move.order_id = ""

    def settle(self, state: UpstreamState, now: float) -> bool:
        """Close the moves that the ledger has settled; return whether there were any."""
        if state.ledger.draft is None or state.ledger.status is None:
            return False
        unsettled = {r.order_id for r in state.ledger.reservations}
        closed = False
        for copy, move in self._moves_of(state):
            resident = state.is_resident(copy.item)
            if isinstance(move, Load):
                if move.order_id not in unsettled:
                    del self._area.loads[copy]
                    self._close_load(copy, resident, now)
                    closed = True
            elif move.order_id not in unsettled and (move.order_id or not resident):
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
        self.failed += 1
        count, _ = self._area.failures.get(copy, (0, 0.0))
        backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**count)
        self._area.failures[copy] = (count + 1, now + backoff_s)

    def _advance_unload(self, copy: Copy, unload: Unload, state: UpstreamState, now: float) -> None:
        item, area = copy.item, self._area
        if not self._may_lose(copy, now):
            del area.unloads[copy]
            return
        if not self._is_idle(copy, unload, state):
            return
        if any(r.item == item for r in state.ledger.reservations):
            return
        riders = self._riders(copy, state)
        for rider in riders:
            self.start_unload(Copy(copy.upstream, rider.item), f"base {item.name} leaves", now)
        if riders:
            return
        order_id = self.next_order_id()
        kind = OrderKind.unload(item.kind)
        if state.ledger.reserve(kind, item.name, item.version, 0, order_id).is_ok():
            unload.order_id = order_id
            self._area.touched.add(copy.upstream)

    def _may_lose(self, copy: Copy, now: float) -> bool:
        """Return whether a model has another serving copy, here or elsewhere."""
        deployment = self._area.deployment
        name = copy.item.name
        if deployment is None or name not in deployment.models:
            return deployment is not None
        return any(other != copy for other in self._area.serving_copies(name, now))

    def _is_idle(self, copy: Copy, unload: Unload, state: UpstreamState) -> bool:
        retire_s = ADAPTER_RETIRE_S if copy.item.kind is ItemKind.ADAPTER else MODEL_RETIRE_S
        if state.ledger.status_read_s < unload.since_s + retire_s:
            return False
        status = state.ledger.status
        assert status is not None
        for resident in status.residents:
            if resident.item == copy.item and resident.running is not None:
                return resident.running == 0
        # An engine finishes the requests that use a copy before it frees the memory.
        return True

    def _riders(self, copy: Copy, state: UpstreamState) -> list[Resident]:
        """Return the adapters that lose their base model with this copy."""
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
