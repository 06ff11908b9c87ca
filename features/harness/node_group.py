"""The nodes of a scenario, and what operators ask of them."""

import asyncio
import json
import time
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from result import Err, Ok, Result

from eelgrassferry.http import HttpError, HttpResponse
from eelgrassferry.settings import ConfigChange, SettingsText, encode_change

from .deployment import OPERATOR_TOKEN, SITE, Deployment
from .process import Process
from .revision_log import Accepted, RevisionLog
from .system import System

__all__ = ["NodeGroup"]

AUTH = ("authorization", f"Bearer {OPERATOR_TOKEN}")
SAMPLE_S = 0.2
IN_FORCE_S = 8.0
SAMPLE_TIMEOUT_S = 1.0


class NodeGroup:
    """Starts nodes, keeps the platform's host list, and samples the revisions in force.

    The platform of a scenario lists a node as soon as it is ready, and takes a host off the list
    only when the scenario says so.
    """

    def __init__(self, system: System, deployment: Deployment) -> None:
        self.revisions = RevisionLog()
        self._system = system
        self._deployment = deployment
        self._sampling = False
        self._sampler: Future[None] | None = None

    def start(self, domains: dict[str, str]) -> None:
        """Start nodes by name with their domains, all at once, and register them."""
        self.register_upstreams()
        seeds = [node.ready["peer_address"] for node in self.live()]
        for name, domain in domains.items():
            settings = self._deployment.write_node(name, domain, seeds)
            node = self._system.launch("node", name, ("node", "--settings", str(settings)))
            node.domain = domain
        for name in domains:
            node = self._system.find(name)
            node.wait_ready()
            self._put_host(name, node.ready["peer_address"], "node", node.domain)
        if not self._sampling:
            self._sampling = True
            self._sampler = self._system.calls.start(self._sample())

    def register_upstreams(self) -> None:
        """List the engines and services as live."""
        for kind in ("engine", "service"):
            for process in self._system.of_kind(kind):
                self._put_host(process.name, process.address, kind, process.domain)

    def set_host_state(self, name: str, state: str) -> None:
        """Change the state of a listed host."""
        process = self._system.find(name)
        address = process.ready.get("peer_address", process.address)
        self._put_host(name, address, process.kind, process.domain, state)

    def live(self) -> list[Process]:
        """Return the nodes that run."""
        return [node for node in self._system.of_kind("node") if node.runs]

    def status(self, name: str) -> dict[str, Any]:
        """Return a node's answer to an operator's ``GET /status``."""
        return self._call(name, "GET", "/status").unwrap().json()

    def holds(self, upstream: str, model: str) -> bool:
        """Return whether an engine reports a loaded copy."""
        address = self._system.address(upstream)
        residents = self._system.calls.read(address, "/admin/status")["residents"]
        return any(held["name"] == model for held in residents)

    def knows_copies(self, node: str, model: str, count: int) -> bool:
        """Return whether a node sees so many live copies of a model."""
        upstreams = self.status(node)["upstreams"]
        return sum(up["state"] == "live" and model in up["residents"] for up in upstreams) >= count

    def holder(self) -> str:
        """Return the node that the lease object names, or "" if it names none."""
        answer = self._read_object(f"leases/{SITE}")
        if answer is None or answer.get("released"):
            return ""
        return answer["holder"].partition(":")[0]

    def propose(self, name: str, based_on: int, marker: int) -> ConfigChange:
        """Return a change of the deployment as it is now, with ``queue_limit`` = ``marker``."""
        self._deployment.site_keys["queue_limit"] = str(marker)
        base, overlay = self._deployment.base_file, self._deployment.overlay_file
        return ConfigChange(
            SettingsText("base.ini", base.read_text()),
            SettingsText("overlay.ini", overlay.read_text()),
            based_on,
            f"change-{marker}",
            name,
        )

    def apply(self, names: list[str], changes: list[ConfigChange]) -> list[HttpResponse | None]:
        """Apply changes at nodes at the same time; None where there was no answer.

        Confirmed changes must never be lost.
        """
        with ThreadPoolExecutor(len(names)) as pool:
            answers = list(pool.map(self._apply, names, changes))
        return answers

    def _apply(self, name: str, change: ConfigChange) -> HttpResponse | None:
        match self._call(name, "POST", "/config/apply", encode_change(change)):
            case Ok(res):
                if res.status == 200:
                    revision = res.json()["revision"]
                    self.revisions.accept(Accepted(revision, change.change_id))
                return res
            case Err():
                return None

    def revision(self, name: str) -> int:
        """Return the revision in force at a node."""
        return self.status(name)["revision"]

    def has_open_order(self) -> bool:
        """Return whether the record of an engine has a reservation that is not settled."""
        engines = [engine.name for engine in self._system.of_kind("engine")]
        records = [self._read_object(f"upstreams/{name}") for name in engines]
        return any(record and record["reservations"] for record in records)

    def explain(self, name: str, model: str) -> list[str]:
        """Return a node's explanation of where a model is."""
        return self._call(name, "GET", f"/explain?model={model}").unwrap().json().get("lines", [])

    def check(self) -> list[str]:
        """Return what is wrong with the revisions, once every node had 8 s to take the last one."""
        last = self.revisions.last_accepted()
        until_s = time.monotonic() + IN_FORCE_S
        found = self._revisions() if last else {}
        while any(revision < last for revision in found.values()) and time.monotonic() < until_s:
            time.sleep(SAMPLE_S)
            found = self._revisions()
        self._sampling = False
        if self._sampler is not None:
            self._sampler.result(SAMPLE_TIMEOUT_S + 5)
        return [*self.revisions.check(), *self.revisions.check_final(found)]

    def _revisions(self) -> dict[str, int]:
        return {node.name: self.revision(node.name) for node in self.live()}

    def _call(
        self, name: str, method: str, target: str, body: Any = b""
    ) -> Result[HttpResponse, HttpError]:
        address = self._system.find(name).ready["operator_address"]
        return self._system.calls.send(address, method, target, body, (AUTH,))

    def _read_object(self, key: str) -> Any:
        address = self._system.address("platform")
        answer = self._system.calls.send(address, "GET", f"/objects/{key}").unwrap()
        return json.loads(answer.body) if answer.status == 200 else None

    def _put_host(
        self, name: str, address: str, kind: str, domain: str, state: str = "live"
    ) -> None:
        entry = {"address": address, "kind": kind, "domain": domain, "state": state}
        platform = self._system.address("platform")
        sent = self._system.calls.send(platform, "PUT", f"/hosts/{name}", entry).unwrap()
        assert sent.status == 200, sent

    async def _sample(self) -> None:
        """Note the revision of every node again and again until the checks."""
        while self._sampling:
            await asyncio.gather(*(self._sample_node(node) for node in self.live()))
            await asyncio.sleep(SAMPLE_S)

    async def _sample_node(self, node: Process) -> None:
        if "operator_address" not in node.ready:
            return
        sent = await self._system.calls.client.request(
            node.ready["operator_address"],
            "GET",
            "/config",
            headers=(AUTH,),
            timeout_s=SAMPLE_TIMEOUT_S,
            new_connection=True,
        )
        match sent:
            case Ok(res) if res.status == 200:
                found = res.json()
                instance = f"{node.name}/{node.pid}"
                self.revisions.note(instance, found["revision"], found["change_id"])
            case _:
                pass
