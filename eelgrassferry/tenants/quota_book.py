"""The coordinator's book of what the tenants may still use of their quotas."""

from collections.abc import Mapping
from dataclasses import dataclass

from ..fleet import ServiceBounds, Tenant
from ..pacing import Pace
from .quota_limit import CLOSE_SHARE, QuotaLimit
from .quota_messages import QuotaAsk, QuotaGrant, QuotaReply, QuotaReport

__all__ = ["QuotaBook"]

# Nodes may admit alone again once this share has been unused for this time, in seconds.
OPEN_SHARE = 0.75
OPEN_AFTER_S = 1.0
# A tenant whose depth is filled in less than this time is never open, in seconds: what nodes admit
# until their reports arrive could exceed it.
MIN_OPEN_DEPTH_S = 0.3


@dataclass
class TenantBook:
    """State of one tenant. ``ample_since`` is since when much is unused, in seconds."""

    limit: QuotaLimit
    pace: Pace
    ample_since: float
    is_open: bool = False


class QuotaBook:
    """Book of a coordinator whose term has just begun.

    While much of a tenant's burst is unused, the tenant is open: nodes admit its requests at once
    and report them. Otherwise nodes ask, and each request is booked like a turn at the tenant's
    rate.

    The coordinator grants only the share of each limit that the nodes in touch with it have,
    because the other nodes use theirs without asking. The paces therefore run on a clock that
    advances at this share of the usual speed.

    The predecessor may have granted everything until now, so a new book starts empty. Nodes that
    connect hand in what they know to be unused of their shares.
    """

    def __init__(
        self, tenants: Mapping[str, Tenant], bounds: ServiceBounds, share: float, now: float
    ) -> None:
        self._share = share
        self._bounds = bounds
        self._updated_at = now
        self._clock_s = 0.0
        self._tenants: dict[str, TenantBook] = {}
        self.set_tenants(tenants, now)

    def set_tenants(self, tenants: Mapping[str, Tenant], now: float) -> None:
        """Apply the limits of a new version of the configuration, at once."""
        self._advance(now)
        before, self._tenants = self._tenants, {}
        for name, tenant in tenants.items():
            limit = QuotaLimit.of(tenant, self._bounds)
            if limit is None:
                continue
            book = before.get(name)
            if book is None:
                book = TenantBook(limit, Pace(self._clock_s), now)
            book.limit = limit
            self._tenants[name] = book

    def set_share(self, share: float, now: float) -> None:
        """Set the share of all nodes that are in touch with the coordinator.

        Nodes that are no longer in touch have taken their part of what is unused.
        """
        self._advance(now)
        lost = 1.0 - share / self._share
        for book in self._tenants.values():
            unused_s = self._unused_s(book)
            if lost > 0.0 and unused_s > 0.0:
                book.pace.spend(lost * unused_s, self._clock_s, self._full_s(book))
        self._share = share

    def apply(self, report: QuotaReport, now: float) -> QuotaReply:
        """Charge what a node has admitted, and answer its questions."""
        self._advance(now)
        for name, units in report.spent.items():
            book = self._tenants.get(name)
            if book is not None:
                self._spend(book, units)
        return QuotaReply(tuple(self._book(ask, now) for ask in report.asks))

    def update(self, now: float) -> Mapping[str, bool]:
        """Return the tenants that were opened or closed since the last call."""
        self._advance(now)
        changes = {}
        for name, book in self._tenants.items():
            full_s, unused_s = self._full_s(book), self._unused_s(book)
            if unused_s < OPEN_SHARE * full_s or book.limit.depth_s < MIN_OPEN_DEPTH_S:
                book.ample_since = now
            is_open = book.is_open
            if unused_s < CLOSE_SHARE * full_s or book.limit.depth_s < MIN_OPEN_DEPTH_S:
                is_open = False
            elif now - book.ample_since >= OPEN_AFTER_S:
                is_open = True
            if is_open != book.is_open:
                book.is_open = changes[name] = is_open
        return changes

    def open_tenants(self) -> Mapping[str, bool]:
        """Return which tenants are open, for a node that has just connected."""
        return {name: book.is_open for name, book in self._tenants.items()}

    def _advance(self, now: float) -> None:
        self._clock_s += self._share * max(0.0, now - self._updated_at)
        self._updated_at = now

    def _book(self, ask: QuotaAsk, now: float) -> QuotaGrant:
        book = self._tenants.get(ask.tenant)
        if book is None:
            return QuotaGrant(ask.ask_id, None, None)
        prepaid_s = book.limit.seconds(book.limit.prepaid(ask.units))
        start_at = self._start_at(book, prepaid_s, now)
        if start_at > now + ask.max_wait_s:
            return QuotaGrant(ask.ask_id, None, start_at)
        self._spend(book, ask.units)
        return QuotaGrant(ask.ask_id, start_at, self._start_at(book, 0.0, now))

    def _start_at(self, book: TenantBook, prepaid_s: float, now: float) -> float:
        start_s = book.pace.start_at(self._clock_s, self._full_s(book), prepaid_s)
        return now + (start_s - self._clock_s) / self._share

    def _spend(self, book: TenantBook, units: float) -> None:
        book.pace.spend(book.limit.seconds(units), self._clock_s, self._full_s(book))

    def _full_s(self, book: TenantBook) -> float:
        """Return the largest unused time, in seconds of the book's clock."""
        return self._share * book.limit.depth_s

    def _unused_s(self, book: TenantBook) -> float:
        """Return the unused time, negative if requests are booked ahead."""
        return self._clock_s - book.pace.next_at(self._clock_s, self._full_s(book))
