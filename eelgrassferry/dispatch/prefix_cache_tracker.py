"""Prompt parts that are expected in the prefix cache of each upstream."""

from collections import OrderedDict

__all__ = ["PrefixCacheTracker"]

# Share of an engine's KV cache that is expected to contain cached prompt parts. Running requests
# occupy the rest.
CACHED_SHARE = 0.6
# Number of parts that are remembered of all upstreams together, about 5 MB. Requests name parts of
# any number of tokens, also of none, so the tokens alone do not bound the memory.
MAX_PARTS = 20_000


class PrefixCacheTracker:
    """Prompt parts that this node has sent to each upstream, least recently used first.

    A part is reused only if all parts before it are cached for the same model and adapter. Beyond
    ``MAX_PARTS``, parts of the upstream that has most are removed.
    """

    def __init__(self) -> None:
        self._cached_parts: dict[str, OrderedDict[tuple[str, str, str], int]] = {}
        self._cached_tokens: dict[str, int] = {}
        self._part_count = 0

    def cached_tokens(
        self, instance: str, model: str, adapter: str, prompt_parts: tuple[tuple[str, int], ...]
    ) -> int:
        """Return the number of tokens of a prompt that are expected to be cached."""
        cached = self._cached_parts.get(instance)
        if not cached:
            return 0
        total = 0
        for part, tokens in prompt_parts:
            if (model, adapter, part) not in cached:
                break
            total += tokens
        return total

    def record_prompt(
        self,
        instance: str,
        model: str,
        adapter: str,
        prompt_parts: tuple[tuple[str, int], ...],
        cache_tokens: int,
    ) -> None:
        """Record that an upstream has read a prompt and evict parts beyond its capacity.

        The last part belongs to this request alone and is not recorded. ``cache_tokens`` is the
        size of the upstream's KV cache.
        """
        cached = self._cached_parts.setdefault(instance, OrderedDict())
        for part, tokens in prompt_parts[:-1]:
            key = (model, adapter, part)
            if key not in cached:
                self._part_count += 1
                self._cached_tokens[instance] = self._cached_tokens.get(instance, 0) + tokens
            cached[key] = tokens
            cached.move_to_end(key)
        while cached and self._cached_tokens.get(instance, 0) > CACHED_SHARE * cache_tokens:
            self._evict_oldest(instance)
        while self._part_count > MAX_PARTS:
            largest = max(self._cached_parts, key=lambda name: len(self._cached_parts[name]))
            for _ in range(min(self._part_count - MAX_PARTS, len(self._cached_parts[largest]))):
                self._evict_oldest(largest)

    def _evict_oldest(self, instance: str) -> None:
        """Remove the least recently used part of an upstream."""
        _, tokens = self._cached_parts[instance].popitem(last=False)
        self._cached_tokens[instance] -= tokens
        self._part_count -= 1

    def forget_model(self, instance: str, model: str) -> None:
        """Remove the parts of a model that was unloaded."""
        cached = self._cached_parts.get(instance, OrderedDict())
        for key in [key for key in cached if key[0] == model]:
            self._cached_tokens[instance] -= cached.pop(key)
            self._part_count -= 1

    def forget(self, instance: str) -> None:
        """Remove all parts of an upstream that has stopped or restarted."""
        self._part_count -= len(self._cached_parts.pop(instance, ()))
        self._cached_tokens.pop(instance, None)
