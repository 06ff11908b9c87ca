"""Stand-in for the platform: the object API and the host list."""

import asyncio
import base64
import dataclasses
import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

from result import Err, Ok

from ..http import ExecutionStatus, HttpRequest, HttpResponse, Problem, Responder
from ..objects import StoredObject
from .host_list import Host, HostList
from .object_table import MAX_VALUE_BYTES, ObjectTable
from .rate_limit import RateLimit
from .standin import Standin, problem_response

__all__ = ["PlatformFaults", "PlatformOptions", "PlatformStandin"]

MAX_WATCH_TIMEOUT_S = 60.0
HOST_FIELDS = ("address", "kind", "domain", "state")


@dataclass(frozen=True)
class PlatformOptions:
    """Options of the platform.

    The rates limit the calls per second of all callers together. ``answer_ms`` is the duration of
    each call, and ``host_lag_s`` the age of the host list.
    """

    host: str = "127.0.0.1"
    port: int = 0
    reads_per_s: float = 2000.0
    writes_per_s: float = 400.0
    answer_ms: float = 2.0
    host_lag_s: float = 1.0


@dataclass(frozen=True)
class PlatformFaults:
    """Fault switches of the platform.

    ``down`` answers each call with status 503. ``delay_ms`` is added to the duration of each call.
    The next ``lose_answers`` writes take effect, and their connections are closed without an
    answer. ``host_lag_s`` is the age of the host list. Callers send their failure domain in
    ``X-Domain``; the connections of callers in ``cut_domains`` are closed without an answer,
    including those of watches in progress.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    host_lag_s: float = 1.0
    cut_domains: tuple[str, ...] = ()


class PlatformStandin(Standin[PlatformFaults]):
    """A simulated platform with the object API and the host list of section 7 of the design.

    ``PUT /hosts/<id>`` and ``DELETE /hosts/<id>`` simulate changes by the platform itself, so that
    rate limits and faults don't apply to them. A write must have an ``If-Match`` header or
    ``If-None-Match: *``.

    >>> platform = PlatformStandin(PlatformOptions())
    >>> # await platform.start(); platform.address; await platform.close()
    """

    def __init__(self, options: PlatformOptions | None = None) -> None:
        self.options = options or PlatformOptions()
        faults = PlatformFaults(host_lag_s=self.options.host_lag_s)
        super().__init__(self.options.host, self.options.port, faults)
        self.objects = ObjectTable()
        self.hosts = HostList()
        self._reads = RateLimit(self.options.reads_per_s)
        self._writes = RateLimit(self.options.writes_per_s)
        self._closing = False
        # Set and replaced at each change, so that a watch waits for the next change only.
        self._change_event = asyncio.Event()

    async def close(self, grace_s: float | None = 5.0) -> None:
        """Answer the watches in progress and stop."""
        self._closing = True
        self._wake_watches()
        await super().close(grace_s)

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the fault switches and apply them to the watches in progress."""
        super().set_faults(faults)
        self._wake_watches()

    async def handle(self, req: HttpRequest, out: Responder) -> None:
        """Answer one call of the object API or the host list."""
        path = unquote(req.path)
        if path.startswith("/hosts/"):
            await out.send(self._change_host(req, path.removeprefix("/hosts/")))
            return
        self._check_domain(req)
        kind = self._classify_call(req.method, path)
        if kind is None:
            problem = Problem(
                404, "unknown_path", ExecutionStatus.NO, f"{req.method} {path} does not exist"
            )
            await out.send(problem_response(problem))
            return
        is_write = kind in ("put", "delete")
        self.counts[kind] += 1
        self.counts["writes" if is_write else "reads"] += 1
        refused = self._check_availability(is_write)
        if refused is not None:
            self.counts[f"refused.{refused.reason}"] += 1
            await out.send(problem_response(refused))
            return
        # Half of the delay comes before the call takes effect and half after it, so that the write
        # of a caller that times out may or may not have taken effect.
        half_delay_s = (self.options.answer_ms + self.faults.delay_ms) / 2000.0
        await asyncio.sleep(half_delay_s)
        self._check_domain(req)
        response = await self._execute(kind, req, path)
        await asyncio.sleep(half_delay_s)
        self._check_domain(req)
        if is_write and response.status == 200 and self.faults.lose_answers > 0:
            remaining = self.faults.lose_answers - 1
            self.faults = dataclasses.replace(self.faults, lose_answers=remaining)
            self.counts["answers_lost"] += 1
            raise ConnectionResetError("fault: the answer is lost")
        await out.send(response)

    @staticmethod
    def _classify_call(method: str, path: str) -> str | None:
        match method, path:
            case "GET", "/objects":
                return "list"
            case "GET", "/watch":
                return "watch"
            case "GET", "/hosts":
                return "hosts"
            case ("GET" | "PUT" | "DELETE"), _ if len(path) > 9 and path.startswith("/objects/"):
                return method.lower()
        return None

    def _check_domain(self, req: HttpRequest) -> None:
        if req.header("x-domain") in self.faults.cut_domains:
            self.counts["cut"] += 1
            raise ConnectionResetError("fault: the caller's domain is cut off")

    def _check_availability(self, is_write: bool) -> Problem | None:
        if self.faults.down:
            return Problem(503, "down", ExecutionStatus.NO, "the object API is down")
        bucket = self._writes if is_write else self._reads
        if bucket.admit(asyncio.get_running_loop().time()):
            return None
        detail = f"over the rate of {'writes' if is_write else 'reads'}"
        return Problem(429, "rate_limited", ExecutionStatus.NO, detail, retry_after_s=1)

    async def _execute(self, kind: str, req: HttpRequest, path: str) -> HttpResponse:
        key = path.removeprefix("/objects/")
        match kind:
            case "get":
                return self._get(key)
            case "put" | "delete":
                return self._write(kind, key, req)
            case "list":
                found = self.objects.list(req.query.get("prefix", ""))
                version = ("x-store-version", str(self.objects.version))
                return HttpResponse.of_json([_to_json(obj) for obj in found], headers=(version,))
            case "watch":
                return await self._watch(req)
            case _:
                at_s = asyncio.get_running_loop().time() - self.faults.host_lag_s
                hosts = [host.to_json() for host in self.hosts.read(at_s)]
                return HttpResponse.of_json({"hosts": hosts})

    def _get(self, key: str) -> HttpResponse:
        obj = self.objects.get(key)
        if obj is None:
            problem = Problem(
                404, "no_such_object", ExecutionStatus.NO, f"object {key!r} does not exist"
            )
            return problem_response(problem)
        headers = (("etag", f'"{obj.version}"'), ("content-type", "application/octet-stream"))
        return HttpResponse(200, headers, obj.value)

    def _write(self, kind: str, key: str, req: HttpRequest) -> HttpResponse:
        expected = _read_condition(req)
        if expected is None:
            detail = 'a write needs If-Match: "<version>" or If-None-Match: *'
            return problem_response(Problem(428, "no_condition", ExecutionStatus.NO, detail))
        if len(req.body) > MAX_VALUE_BYTES:
            detail = f"{len(req.body)} bytes; at most {MAX_VALUE_BYTES}"
            return problem_response(Problem(413, "too_large", ExecutionStatus.NO, detail))
        is_put = kind == "put"
        objects = self.objects
        written = objects.put(key, req.body, expected) if is_put else objects.delete(key, expected)
        match written:
            case Err(mismatch):
                self.counts["conflicts"] += 1
                detail = f"object {key!r} has version {mismatch.actual}, not {expected}"
                return problem_response(Problem(412, "conflict", ExecutionStatus.NO, detail))
            case Ok(version):
                self._wake_watches()
                return HttpResponse(200, (("etag", f'"{version}"'),))

    async def _watch(self, req: HttpRequest) -> HttpResponse:
        try:
            after = int(req.query.get("after", "0"))
            timeout_s = min(float(req.query.get("timeout", "30")), MAX_WATCH_TIMEOUT_S)
        except ValueError:
            detail = "after and timeout must be numbers"
            return problem_response(Problem(400, "bad_query", ExecutionStatus.NO, detail))
        prefix = req.query.get("prefix", "")
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while True:
            if self.faults.down:
                return problem_response(
                    Problem(503, "down", ExecutionStatus.NO, "the object API is down")
                )
            self._check_domain(req)
            found = self.objects.changes(prefix, after)
            remaining_s = deadline_s - loop.time()
            if found or remaining_s <= 0 or self._closing:
                changes = [
                    {"key": change.key, "version": change.version, "deleted": change.deleted}
                    for change in found
                ]
                return HttpResponse.of_json({"version": self.objects.version, "changes": changes})
            try:
                async with asyncio.timeout(remaining_s):
                    await self._change_event.wait()
            except TimeoutError:
                continue

    def _wake_watches(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()

    def _change_host(self, req: HttpRequest, host_id: str) -> HttpResponse:
        now_s = asyncio.get_running_loop().time()
        match req.method:
            case "PUT":
                host = _read_host(req.body, self.hosts.get(host_id) or Host(host_id))
                if host is None:
                    detail = f"a JSON object of texts named {', '.join(HOST_FIELDS)} is needed"
                    return problem_response(Problem(400, "bad_host", ExecutionStatus.NO, detail))
                self.hosts.put(host, now_s)
                return HttpResponse.of_json(host.to_json())
            case "DELETE":
                self.hosts.remove(host_id, now_s)
                return HttpResponse(200)
        return problem_response(
            Problem(405, "bad_method", ExecutionStatus.NO, "only PUT and DELETE")
        )


def _to_json(obj: StoredObject) -> dict[str, Any]:
    value = base64.b64encode(obj.value).decode()
    return {"key": obj.key, "version": obj.version, "value": value}


def _read_condition(req: HttpRequest) -> int | None:
    """Return the version that a write expects, 0 for a new object, or None without a condition."""
    if req.header("if-none-match") == "*":
        return 0
    tag = (req.header("if-match") or "").strip('"')
    return int(tag) if tag.isdecimal() else None


def _read_host(body: bytes, current: Host) -> Host | None:
    """Return the entry with the fields in the body replaced, or None if the body is malformed."""
    try:
        values = json.loads(body)
    except ValueError:
        return None
    if not isinstance(values, dict):
        return None
    values.pop("id", None)
    if any(name not in HOST_FIELDS or not isinstance(v, str) for name, v in values.items()):
        return None
    return dataclasses.replace(current, **values)
