"""The nodes of a scenario and the requests of operators to them."""

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
from .revision_log import AcceptedChange, RevisionLog
from .system import System

__all__ = ["NodeGroup"]

AUTH_HEADER = ("authorization", f"Bearer {OPERATOR_TOKEN}")
SAMPLE_INTERVAL_S = 0.2
PROPAGATION_TIMEOUT_S = 8.0
SAMPLE_TIMEOUT_S = 1.0


class NodeGroup:
    """The nodes of a scenario, with the host list of the platform.

    A node is added to the host list as soon as it is ready. The state of a host changes only when
    the scenario sets it. While nodes run, their configuration revisions are sampled for
    ``check_revisions``.
    """

    def __init__(self, system: System, deployment: Deployment) -> None:
        self.revisions = RevisionLog()
        self._system = system
        self._deployment = deployment
        self._sampling = False
        self._sampler: Future[None] | None = None

    def start(self, domains: dict[str, str]) -> None:
        """Start nodes in parallel, wait until they are ready, and add them to the host list.

        ``domains`` maps the name of each node to its failure domain.
        """
        self.register_upstreams()
        seeds = [node.ready["peer_address"] for node in self.running()]
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
            self._sampler = self._system.http.submit(self._sample())

    def register_upstreams(self) -> None:
        """Add the engines and services to the host list in the state live."""
        for kind in ("engine", "service"):
            for process in self._system.of_kind(kind):
                self._put_host(process.name, process.address, kind, process.domain)

    def set_host_state(self, name: str, state: str) -> None:
        """Set the state of a host in the host list."""
        process = self._system.find(name)
        address = process.ready.get("peer_address", process.address)
        self._put_host(name, address, process.kind, process.domain, state)

    def running(self) -> list[Process]:
        """Return the nodes whose processes are running."""
        return [node for node in self._system.of_kind("node") if node.is_running]

    def status(self, name: str) -> dict[str, Any]:
        """Return the operator status of a node, from ``GET /status``."""
        return self._call(name, "GET", "/status").unwrap().json()

    def has_copy(self, upstream: str, model: str) -> bool:
        """Return whether an engine reports a loaded copy of a model."""
        address = self._system.address(upstream)
        residents = self._system.http.read_json(address, "/admin/status")["residents"]
        return any(resident["name"] == model for resident in residents)

    def reports_copies(self, node: str, model: str, count: int) -> bool:
        """Return whether a node reports at least ``count`` live copies of a model."""
        upstreams = self.status(node)["upstreams"]
        return sum(up["state"] == "live" and model in up["residents"] for up in upstreams) >= count

    def lease_holder(self) -> str:
        """Return the name of the node that holds the lease, or "" if no node holds it."""
        answer = self._read_object(f"leases/{SITE}")
        if answer is None or answer.get("released"):
            return ""
        return answer["holder"].partition(":")[0]

    def propose(self, name: str, based_on: int, queue_limit: int) -> ConfigChange:
        """Return a change to the current settings of the deployment.

        ``queue_limit`` makes the change different from all others and is part of its id.
        ``based_on`` is the revision that the change replaces.
        """
        self._deployment.site_keys["queue_limit"] = str(queue_limit)
        base, overlay = self._deployment.base_file, self._deployment.overlay_file
        return ConfigChange(
            SettingsText("base.ini", base.read_text()),
            SettingsText("overlay.ini", overlay.read_text()),
            based_on,
            f"change-{queue_limit}",
            name,
        )

    def apply(self, names: list[str], changes: list[ConfigChange]) -> list[HttpResponse | None]:
        """Apply one change at each node in parallel and return the responses.

        A response is None if the node did not answer. Confirmed changes are recorded, so that
        ``check_revisions`` detects a lost one.
        """
        with ThreadPoolExecutor(len(names)) as pool:
            answers = list(pool.map(self._apply, names, changes))
        return answers

    def _apply(self, name: str, change: ConfigChange) -> HttpResponse | None:
        match self._call(name, "POST", "/config/apply", encode_change(change)):
            case Ok(res):
                if res.status == 200:
                    revision = res.json()["revision"]
                    self.revisions.record_accepted(AcceptedChange(revision, change.change_id))
                return res
            case Err():
                return None

    def revision(self, name: str) -> int:
        """Return the configuration revision in force at a node."""
        return self.status(name)["revision"]

    def has_pending_order(self) -> bool:
        """Return whether the record of any engine has a reservation of a pending order."""
        engines = [engine.name for engine in self._system.of_kind("engine")]
        records = [self._read_object(f"upstreams/{name}") for name in engines]
        return any(record and record["reservations"] for record in records)

    def explain(self, name: str, model: str) -> list[str]:
        """Return the lines in which a node explains the placement of a model."""
        return self._call(name, "GET", f"/explain?model={model}").unwrap().json().get("lines", [])

    def check_revisions(self) -> list[str]:
        """Stop sampling and return a line for each fault in the revisions of the nodes.

        The nodes first get 8 s to put the last accepted revision in force.
        """
        last = self.revisions.last_accepted()
        deadline_s = time.monotonic() + PROPAGATION_TIMEOUT_S
        in_force = self._read_revisions() if last else {}
        while (
            any(revision < last for revision in in_force.values()) and time.monotonic() < deadline_s
        ):
            time.sleep(SAMPLE_INTERVAL_S)
            in_force = self._read_revisions()
        self._sampling = False
        if self._sampler is not None:
            self._sampler.result(SAMPLE_TIMEOUT_S + 5)
        return [*self.revisions.check(), *self.revisions.check_final(in_force)]

    def _read_revisions(self) -> dict[str, int]:
        return {node.name: self.revision(node.name) for node in self.running()}

    def _call(
        self, name: str, method: str, target: str, body: Any = b""
    ) -> Result[HttpResponse, HttpError]:
        address = self._system.find(name).ready["operator_address"]
        return self._system.http.send(address, method, target, body, (AUTH_HEADER,))

    def _read_object(self, key: str) -> Any:
        address = self._system.address("platform")
        answer = self._system.http.send(address, "GET", f"/objects/{key}").unwrap()
        return json.loads(answer.body) if answer.status == 200 else None

    def _put_host(
        self, name: str, address: str, kind: str, domain: str, state: str = "live"
    ) -> None:
        entry = {"address": address, "kind": kind, "domain": domain, "state": state}
        platform = self._system.address("platform")
        answer = self._system.http.send(platform, "PUT", f"/hosts/{name}", entry).unwrap()
        assert answer.status == 200, answer

    async def _sample(self) -> None:
        """Record the revisions of all nodes periodically until ``check_revisions`` is called."""
        while self._sampling:
            await asyncio.gather(*(self._sample_node(node) for node in self.running()))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _sample_node(self, node: Process) -> None:
        if "operator_address" not in node.ready:
            return
        result = await self._system.http.client.request(
            node.ready["operator_address"],
            "GET",
            "/config",
            headers=(AUTH_HEADER,),
            timeout_s=SAMPLE_TIMEOUT_S,
            new_connection=True,
        )
        match result:
            case Ok(res) if res.status == 200:
                config = res.json()
                run_id = f"{node.name}/{node.pid}"
                self.revisions.record(run_id, config["revision"], config["change_id"])
            case _:
                pass
