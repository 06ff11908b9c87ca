"""Settings files for the deployment of a scenario."""

from collections.abc import Sequence
from pathlib import Path

from .process import Process
from .system import System

__all__ = ["Deployment"]

SITE = "uy-sur"
OPERATOR_TOKEN = "operator-token"
PEER_KEY = "peer-key"


class Deployment:
    """A site whose upstreams are the engines and services started by the scenario.

    A service process ``booking-2`` is an upstream of the service ``booking``. Models and adapters
    have version 1 unless ``versions`` gives another one. Memory sizes are in MiB.
    """

    def __init__(self, system: System, directory: Path) -> None:
        self.models: dict[str, int] = {}
        self.adapters: dict[str, tuple[str, int]] = {}
        self.versions: dict[str, str] = {}
        self.site_keys: dict[str, str] = {}
        self.replicas: dict[str, int] = {}
        self._system = system
        self._directory = directory

    @property
    def base_file(self) -> Path:
        """The path of the base file, newly written, with the models and adapters."""
        sections = [
            (
                f"model {name}",
                {
                    "memory": f"{size} MiB",
                    "version": self.versions.get(name, "1"),
                    "min_replicas": str(self.replicas.get(name, 1)),
                },
            )
            for name, size in self.models.items()
        ]
        sections += [
            (
                f"adapter {name}",
                {"base": base, "memory": f"{size} MiB", "version": self.versions.get(name, "1")},
            )
            for name, (base, size) in self.adapters.items()
        ]
        return self._write("base.ini", sections)

    @property
    def overlay_file(self) -> Path:
        """The path of the overlay, newly written.

        The overlay defines the site, its weight store, its upstreams and its services.
        """
        upstreams = [*self._system.of_kind("engine"), *self._system.of_kind("service")]
        domains = sorted({"d1", "d2", "d3", "d4", *(p.domain for p in upstreams)})
        site = {"name": SITE, "domains": ", ".join(domains), **self.site_keys}
        sections = [("site", site)]
        for store in self._system.of_kind("store"):
            keys = {"address": store.address}
            if "loads_per_s" in store.options:
                keys["load_rate"] = f"{store.options['loads_per_s']} /s"
            sections.append(("store", keys))
        sections += [(f"upstream {p.name}", self._upstream_keys(p)) for p in upstreams]
        services: dict[str, list[str]] = {}
        for process in self._system.of_kind("service"):
            services.setdefault(process.name.rpartition("-")[0] or process.name, []).append(
                process.name
            )
        for name, members in services.items():
            keys = {"upstreams": ", ".join(members), "repeatable": "GET /status, HEAD /status"}
            sections.append((f"service {name}", keys))
        return self._write("overlay.ini", sections)

    def write_node(self, name: str, domain: str, seeds: Sequence[str] = ()) -> Path:
        """Write the settings file of a node and return its path.

        The node listens on ports assigned by the kernel. ``seeds`` are the peer addresses of nodes
        that are already running.
        """
        keys = {
            "name": name,
            "site": SITE,
            "domain": domain,
            "listen": "127.0.0.1:0",
            "operator_listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "platform": self._system.address("platform"),
            "operator_token": OPERATOR_TOKEN,
            "peer_keys": PEER_KEY,
            "base_file": str(self.base_file),
            "overlay_file": str(self.overlay_file),
        }
        if seeds:
            keys["seeds"] = ", ".join(seeds)
        return self._write(f"{name}.ini", [("node", keys)])

    @staticmethod
    def _upstream_keys(process: Process) -> dict[str, str]:
        keys = {"kind": process.kind, "address": process.address, "domain": process.domain}
        if process.kind != "engine":
            return keys
        options = process.options
        keys["accelerators"] = "1"
        keys["memory"] = f"{options['memory_mib']} MiB"
        keys["prefill"] = f"{options.get('prefill_tokens_per_s', 8000)} tokens/s"
        keys["decode"] = f"{options.get('decode_tokens_per_s', 1600)} tokens/s"
        keys["max_batch"] = str(options.get("max_batch", 16))
        checks_fence = str(options.get("checks_fence", True)).lower()
        keys["checks_fence"] = "no" if checks_fence == "false" else "yes"
        keys["checks_caller"] = "yes" if options.get("token") else "no"
        return keys

    def _write(self, name: str, sections: list[tuple[str, dict[str, str]]]) -> Path:
        lines = []
        for section, keys in sections:
            lines += [f"[{section}]", *(f"{key} = {value}" for key, value in keys.items()), ""]
        path = self._directory / name
        path.write_text("\n".join(lines))
        return path
