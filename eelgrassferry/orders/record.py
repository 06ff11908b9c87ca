"""One order in the journal."""

from dataclasses import dataclass
from enum import Enum

from .outcome import Outcome

__all__ = ["OrderRecord", "OrderState"]


class OrderState(Enum):
    """How far an order has come. ``NOT_RUN`` is definite: the key may be tried again."""

    STARTED = 0
    DONE = 1
    NOT_RUN = 2


@dataclass(frozen=True)
class OrderRecord:
    """The record of one key.

    ``instance`` is the node instance that dispatches the ``attempt``. ``closed`` holds attempts
    that were given up, so that a delayed message cannot start one of them again. ``written_s`` is
    the writer's wall clock; only retention uses it.
    """

    key: str
    digest: str
    instance: str
    attempt: str
    state: OrderState
    written_s: int
    outcome: Outcome | None = None
    closed: tuple[str, ...] = ()
