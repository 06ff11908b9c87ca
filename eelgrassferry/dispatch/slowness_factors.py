"""Slowness factors of upstreams and models, as exchanged between nodes."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["SlownessFactors"]


@dataclass(frozen=True)
class SlownessFactors:
    """Slowness factors by upstream and by model."""

    upstreams: Mapping[str, float] = field(default_factory=dict)
    models: Mapping[str, float] = field(default_factory=dict)

    def __bool__(self) -> bool:
        return bool(self.upstreams or self.models)

    def changed_since(self, sent: "SlownessFactors", share: float) -> "SlownessFactors":
        """Return the factors that differ from those in ``sent`` by more than a relative ``share``.

        A factor that is missing in ``sent`` is compared with 1.
        """
        return SlownessFactors(
            _changed(self.upstreams, sent.upstreams, share),
            _changed(self.models, sent.models, share),
        )

    def merged(self, updates: "SlownessFactors", current: "SlownessFactors") -> "SlownessFactors":
        """Return these factors overridden by ``updates``, limited to the keys of ``current``."""
        return SlownessFactors(
            _merged(self.upstreams, updates.upstreams, current.upstreams),
            _merged(self.models, updates.models, current.models),
        )


def _merged(
    factors: Mapping[str, float], updates: Mapping[str, float], current: Mapping[str, float]
) -> dict[str, float]:
    return {key: factor for key, factor in {**factors, **updates}.items() if key in current}


def _changed(
    factors: Mapping[str, float], sent: Mapping[str, float], share: float
) -> dict[str, float]:
    return {
        key: factor
        for key, factor in factors.items()
        if abs(factor - sent.get(key, 1.0)) > share * sent.get(key, 1.0)
    }
