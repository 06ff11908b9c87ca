"""Random fault schedules, reproducible by seed."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

__all__ = [
    "ANSWER_FAULTS",
    "EXTRA_FAULTS",
    "Fault",
    "FaultKind",
    "draw_extra_faults",
    "draw_notices",
    "draw_plan",
]

# Mean time between the starts of two notices and longest duration of a limit, in seconds.
MEAN_NOTICE_GAP_S = 2.0
LONGEST_LIMIT_S = 12.0
# Mean time between the starts of two extra faults, in seconds.
MEAN_EXTRA_GAP_S = 0.8
# Mean time between the starts of two faults and longest duration of a fault, in seconds.
# The duration can exceed the mean gap, so that faults overlap.
MEAN_GAP_S = 1.1
LONGEST_S = 4.0


class FaultKind(Enum):
    """Kinds of faults.

    ``draw_notices`` draws those of ``NOTICES``, which a server sends in its answers, and
    ``draw_extra_faults`` those of ``EXTRA_FAULTS``. The kinds up to ``DRAIN_SERVER`` and
    ``FOREIGN_ENTRY`` ignore the fault's duration. ``SILENT`` and ``CUT`` stop the
    bytes of a link in both directions, ``MUTE`` only those to the node, and ``SLOW`` delays them.
    """

    KILL_NODE = "kill_node"
    STOP_NODE = "stop_node"
    RELOAD_NODE = "reload_node"
    CHANGE_CONFIG = "change_config"
    LOSE_WRITES = "lose_writes"
    DROP_HISTORY = "drop_history"
    RESET_STORE = "reset_store"
    RESET_SERVER = "reset_server"
    CRASH_SERVER = "crash_server"
    DRAIN_SERVER = "drain_server"
    PAUSE_NODE = "pause_node"
    STORE_DOWN = "store_down"
    STORE_SILENT = "store_silent"
    CUT_NODE_FROM_STORE = "cut_node_from_store"
    MUTE_STORE_TO_NODE = "mute_store_to_node"
    SLOW_STORE = "slow_store"
    SLOW_SERVER = "slow_server"
    SILENT_SERVER = "silent_server"
    MUTE_SERVER = "mute_server"
    LIMIT_NOTICE = "limit_notice"
    PAUSE_NOTICE = "pause_notice"
    LEAVING_NOTICE = "leaving_notice"
    FAIL_REQUESTS = "fail_requests"
    BREAK_STREAMS = "break_streams"
    LOSE_ANSWERS = "lose_answers"
    DECLINE_REQUESTS = "decline_requests"
    REPEAT_DECLINES = "repeat_declines"
    ENDLESS_CHUNKS = "endless_chunks"
    LAPSE_REGISTRATION = "lapse_registration"
    FOREIGN_ENTRY = "foreign_entry"
    OUTAGE_AFTER_STOP = "outage_after_stop"
    DRILL = "drill"
    MANY_PARTS = "many_parts"


NOTICES = (FaultKind.LIMIT_NOTICE, FaultKind.PAUSE_NOTICE, FaultKind.LEAVING_NOTICE)
# Faults of a server that fails part of its requests while it is registered and listens. With
# ``REPEAT_DECLINES``, the answers to declined requests come once more, late; with
# ``ENDLESS_CHUNKS``, answers consist of very small chunks without end.
ANSWER_FAULTS = (
    FaultKind.FAIL_REQUESTS,
    FaultKind.BREAK_STREAMS,
    FaultKind.LOSE_ANSWERS,
    FaultKind.DECLINE_REQUESTS,
    FaultKind.REPEAT_DECLINES,
    FaultKind.ENDLESS_CHUNKS,
)
# With entries of other writers in the registry, registrations that are lost for a moment, outages
# of the store just after a planned stop, drills, after which the store comes back from a copy, and
# requests with very many prompt parts that crash servers.
EXTRA_FAULTS = (
    *ANSWER_FAULTS,
    FaultKind.LAPSE_REGISTRATION,
    FaultKind.FOREIGN_ENTRY,
    FaultKind.OUTAGE_AFTER_STOP,
    FaultKind.DRILL,
    FaultKind.MANY_PARTS,
)


@dataclass(frozen=True)
class Fault:
    """One fault, ``at`` seconds after the start and lasting ``for_s`` seconds.

    ``pick`` in [0, 1) selects the target.
    """

    at: float
    kind: FaultKind
    for_s: float
    pick: float


def draw_plan(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run of ``seconds`` seconds, in order of time.

    >>> draw_plan(1, 20.0) == draw_plan(1, 20.0)
    True
    """
    kinds = [kind for kind in FaultKind if kind not in (*NOTICES, *EXTRA_FAULTS)]
    return _draw(Random(seed), seconds, kinds, (0.2, 1.0), (0.2, LONGEST_S), MEAN_GAP_S)


def draw_notices(seed: int, seconds: float) -> list[Fault]:
    """Return the notices of a run of ``seconds`` seconds, which come beside the other faults."""
    rng, for_s = Random(f"notices {seed}"), (2.0, LONGEST_LIMIT_S)
    return _draw(rng, seconds, NOTICES, (0.5, 2.0), for_s, MEAN_NOTICE_GAP_S)


def draw_extra_faults(seed: int, seconds: float) -> list[Fault]:
    """Return the extra faults of a run of ``seconds`` seconds, which come beside the others."""
    rng, for_s = Random(f"extra {seed}"), (0.5, LONGEST_S)
    return _draw(rng, seconds, EXTRA_FAULTS, (0.2, 1.0), for_s, MEAN_EXTRA_GAP_S)


def _draw(
    rng: Random,
    seconds: float,
    kinds: Sequence[FaultKind],
    first_at: tuple[float, float],
    for_s: tuple[float, float],
    mean_gap_s: float,
) -> list[Fault]:
    """Return faults of the given kinds; ``first_at`` and ``for_s`` are ranges in seconds."""
    plan = []
    at = rng.uniform(*first_at)
    while at < seconds:
        lasts_s = min(rng.uniform(*for_s), seconds - at)
        plan.append(Fault(at, rng.choice(kinds), lasts_s, rng.random()))
        at += rng.expovariate(1.0 / mean_gap_s)
    return plan
