"""Journal record of one order."""

from dataclasses import dataclass
from enum import Enum

from .outcome import Outcome

__all__ = ["OrderRecord", "OrderState"]


class OrderState(Enum):
    """State of an order.

    ``NOT_RUN`` means that no attempt has run, so that the order may be attempted again.
    """

    STARTED = 0
    DONE = 1
    NOT_RUN = 2


@dataclass(frozen=True)
class OrderRecord:
    """Journal record of the order with one key.

    ``instance`` is the node instance that dispatches ``attempt``. ``abandoned_attempts`` lists
    abandoned attempts, so that a delayed message cannot start one of them. ``written_s`` is the
    writer's wall-clock time in seconds; it is used only for retention.
    """

    key: str
    digest: str
    instance: str
    attempt: str
    state: OrderState
    written_s: int
    outcome: Outcome | None = None
    abandoned_attempts: tuple[str, ...] = ()
