"""Which prompt parts each upstream is expected to keep."""

from collections import OrderedDict

__all__ = ["PrefixBook"]

# The share of an engine's memory that is expected to hold kept parts; runs take the rest.
KEPT_SHARE = 0.6


class PrefixBook:
    """Parts that this node's requests have left at each upstream, least recently used first.

    A part counts only if all parts before it are kept for the same model and adapter.
    """

    def __init__(self) -> None:
        self._kept: dict[str, OrderedDict[tuple[str, str, str], int]] = {}
        self._tokens: dict[str, int] = {}

    def kept_tokens(
        self, instance: str, model: str, adapter: str, parts: tuple[tuple[str, int], ...]
    ) -> int:
        """Return the number of a prompt's tokens that need not be read again."""
        kept = self._kept.get(instance)
        if not kept:
            return 0
        total = 0
        for part, tokens in parts:
            if (model, adapter, part) not in kept:
                break
            total += tokens
        return total

    def note_run(
        self,
        instance: str,
        model: str,
        adapter: str,
        parts: tuple[tuple[str, int], ...],
        cache_tokens: int,
    ) -> None:
        """Take that an upstream has read a prompt. The last part is the request's own."""
        kept = self._kept.setdefault(instance, OrderedDict())
        for part, tokens in parts[:-1]:
            key = (model, adapter, part)
            if key not in kept:
                self._tokens[instance] = self._tokens.get(instance, 0) + tokens
            kept[key] = tokens
            kept.move_to_end(key)
        while kept and self._tokens.get(instance, 0) > KEPT_SHARE * cache_tokens:
            _, tokens = kept.popitem(last=False)
            self._tokens[instance] -= tokens

    def forget_model(self, instance: str, model: str) -> None:
        """Drop the parts of a model that was unloaded."""
        kept = self._kept.get(instance, OrderedDict())
        for key in [key for key in kept if key[0] == model]:
            self._tokens[instance] -= kept.pop(key)

    def forget(self, instance: str) -> None:
        """Drop everything about an upstream that restarted or left."""
        self._kept.pop(instance, None)
        self._tokens.pop(instance, None)
