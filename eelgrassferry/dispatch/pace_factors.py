"""How slowly upstreams read prompts, as nodes tell each other."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["PaceFactors"]


@dataclass(frozen=True)
class PaceFactors:
    """Slowness by upstream and by model."""

    upstreams: Mapping[str, float] = field(default_factory=dict)
    models: Mapping[str, float] = field(default_factory=dict)

    def __bool__(self) -> bool:
        return bool(self.upstreams or self.models)

    def changed_since(self, told: "PaceFactors", share: float) -> "PaceFactors":
        """Return the factors that differ by more than ``share`` from those told before."""
        return PaceFactors(
            _changed(self.upstreams, told.upstreams, share),
            _changed(self.models, told.models, share),
        )

    def updated(self, news: "PaceFactors", known: "PaceFactors") -> "PaceFactors":
        """Return these factors with newer ones in their place, without those not ``known`` now."""
        return PaceFactors(
            _updated(self.upstreams, news.upstreams, known.upstreams),
            _updated(self.models, news.models, known.models),
        )


def _updated(
    told: Mapping[str, float], news: Mapping[str, float], known: Mapping[str, float]
) -> dict[str, float]:
    return {key: factor for key, factor in {**told, **news}.items() if key in known}


def _changed(now: Mapping[str, float], told: Mapping[str, float], share: float) -> dict[str, float]:
    return {
        key: factor
        for key, factor in now.items()
        if abs(factor - told.get(key, 1.0)) > share * told.get(key, 1.0)
    }
