"""Consistency checks of a whole deployment, across sections and files."""

from bisect import bisect_left
from collections.abc import Callable, Iterator

from .adapter import Adapter
from .deployment import Deployment
from .setting_error import SettingError
from .upstream import UpstreamKind
from .value_kind import ValueKind, format_value

__all__ = ["ENGINE_KEYS", "DeploymentChecks"]

ENGINE_KEYS = ("accelerators", "memory", "prefill", "decode", "max_batch")


class DeploymentChecks:
    """Consistency checks of a merged deployment.

    Parameters
    ----------
    deployment
        The deployment, made of all sections that are valid by themselves.
    declared
        The names of all sections by section type, including the invalid ones.
    origin
        Returns the file that defines a key of a section, or that defines the section if the key is
        empty. Returns None if no file does.
    complete
        Whether all sections are valid by themselves. If not, the checks of total memory are
        skipped, because the sums would be wrong.
    """

    def __init__(
        self,
        deployment: Deployment,
        declared: dict[str, set[str]],
        origin: Callable[[str, str], str | None],
        *,
        complete: bool,
    ) -> None:
        self._deployment = deployment
        self._declared = declared
        self._origin = origin
        self._complete = complete

    def run(self) -> tuple[SettingError, ...]:
        """Run all checks and return the errors found."""
        errors = [
            *self._check_site(),
            *self._check_names(),
            *self._check_references(),
            *self._check_upstreams(),
        ]
        if self._complete:
            errors += [*self._check_model_memory(), *self._check_adapter_memory()]
        return tuple(errors)

    def _error(self, section: str, key: str, message: str) -> SettingError:
        file = self._origin(section, key) or self._origin(section, "") or ""
        return SettingError(file, section, key, "check", message)

    def _check_site(self) -> Iterator[SettingError]:
        site = self._deployment.site
        if site.order_send_limit_s >= site.order_transit_s:
            message = (
                "must be shorter than order_transit, or an engine order can arrive after "
                "its reservation was settled"
            )
            yield self._error("site", "order_send_limit", message)

    def _check_names(self) -> Iterator[SettingError]:
        for name in sorted(self._declared["model"] & self._declared["adapter"]):
            message = f"{name!r} also names a model; callers name models and adapters alike"
            yield self._error(f"adapter {name}", "", message)

    def _check_references(self) -> Iterator[SettingError]:
        for adapter in self._deployment.adapters.values():
            if adapter.base not in self._declared["model"]:
                message = f"the base model {adapter.base!r} does not exist"
                yield self._error(f"adapter {adapter.name}", "base", message)
        for service in self._deployment.services.values():
            for name in service.upstreams:
                upstream = self._deployment.upstreams.get(name)
                if name not in self._declared["upstream"]:
                    message = f"the upstream {name!r} does not exist"
                elif upstream is not None and upstream.kind is not UpstreamKind.SERVICE:
                    message = f"the upstream {name!r} is an engine"
                else:
                    continue
                yield self._error(f"service {service.name}", "upstreams", message)

    def _check_upstreams(self) -> Iterator[SettingError]:
        by_address: dict[str, str] = {}
        for upstream in self._deployment.upstreams.values():
            section = f"upstream {upstream.name}"
            if upstream.domain not in self._deployment.site.domains:
                message = f"the domain {upstream.domain!r} is not one of the site's domains"
                yield self._error(section, "domain", message)
            other = by_address.setdefault(upstream.address, upstream.name)
            if other != upstream.name:
                message = f"{upstream.address} is also the address of upstream {other!r}"
                yield self._error(section, "address", message)
            for key in ENGINE_KEYS:
                given = self._origin(section, key) is not None
                if upstream.kind is UpstreamKind.SERVICE and given:
                    yield self._error(section, key, "the key applies to engines only")
            if upstream.kind is UpstreamKind.ENGINE:
                for key in ("accelerators", "memory"):
                    if self._origin(section, key) is None:
                        yield self._error(section, key, "an engine needs this key")

    def _check_model_memory(self) -> Iterator[SettingError]:
        sizes = sorted(engine.memory_mib for engine in self._deployment.engines)
        models = self._deployment.models.values()
        has_errors = False
        for model in models:
            section, size = f"model {model.name}", _format_memory(model.memory_mib)
            fitting = len(sizes) - bisect_left(sizes, model.memory_mib)
            has_errors = has_errors or fitting < model.min_replicas
            if fitting == 0:
                largest = _format_memory(max(sizes, default=0))
                message = f"{size} is more than the largest engine has ({largest})"
                yield self._error(section, "memory", message)
            elif fitting < model.min_replicas:
                message = f"only {fitting} engines have room for {size}"
                yield self._error(section, "min_replicas", message)
        if has_errors:
            return  # the check of the total would report the same model a second time
        needed = sum(model.memory_mib * model.min_replicas for model in models)
        if needed > sum(sizes):
            message = (
                f"all models with their min_replicas need {_format_memory(needed)}, "
                f"and all engines together have {_format_memory(sum(sizes))}"
            )
            yield self._error("site", "", message)

    def _check_adapter_memory(self) -> Iterator[SettingError]:
        largest_mib = max((engine.memory_mib for engine in self._deployment.engines), default=0)
        largest_by_base: dict[str, Adapter] = {}
        for adapter in self._deployment.adapters.values():
            largest = largest_by_base.setdefault(adapter.base, adapter)
            if adapter.memory_mib > largest.memory_mib:
                largest_by_base[adapter.base] = adapter
        for base, largest in largest_by_base.items():
            model = self._deployment.models.get(base)
            if model is None or model.memory_mib > largest_mib:
                continue
            needed = model.memory_mib + largest.memory_mib
            if needed > largest_mib:
                message = (
                    f"with its base model {model.name!r} it needs {_format_memory(needed)}, "
                    f"and the largest engine has {_format_memory(largest_mib)}"
                )
                yield self._error(f"adapter {largest.name}", "memory", message)


def _format_memory(mib: int) -> str:
    return format_value(ValueKind.MEMORY, mib)
