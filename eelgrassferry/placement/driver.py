"""Asyncio driver of the controller of a planning area."""

import asyncio
import json
import time
from collections.abc import Callable, Coroutine
from typing import Any

import structlog
from result import Err, Ok

from ..http import HttpClient, HttpResponse
from ..objects import ObjectStore, put_and_resolve
from .actions import ControlAction, ProbeVersion, ReadRecord, ReadStatus, SendOrder, WriteRecord
from .controller import AreaController
from .engine import EngineStatus
from .record import UpstreamRecord, record_key

__all__ = ["AreaDriver"]

STATUS_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 3.0
PROBE_TIMEOUT_S = 20.0
MAX_SLEEP_S = 0.5
# From this number of records on, one list call is cheaper for the object API than single reads.
LIST_THRESHOLD = 8
# Maximum concurrent status reads. Without it, a takeover would open a connection to every engine
# at once.
MAX_STATUS_READS = 16

log = structlog.get_logger()


class AreaDriver:
    """Driver that performs a controller's actions with an object store and an HTTP client.

    An order is written to its connection only after the controller has confirmed, in the same
    event loop step, that the lease is valid and the reservation has not expired.

    >>> # driver = AreaDriver(controller, store, HttpClient())
    >>> # task = asyncio.create_task(driver.run())
    """

    def __init__(
        self,
        controller: AreaController,
        store: ObjectStore,
        client: HttpClient,
        clock: Callable[[], float] = time.monotonic,
        token: str = "",
    ) -> None:
        self._controller = controller
        self._store = store
        self._client = client
        self._clock = clock
        auth = (("authorization", f"Bearer {token}"),) if token else ()
        self._order_headers = (("content-type", "application/json"), *auth)
        self._woken = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._status_reads = asyncio.Semaphore(MAX_STATUS_READS)

    def wake(self) -> None:
        """Run the next tick at once. Call this after an input of the controller has changed."""
        self._woken.set()

    async def run(self) -> None:
        """Perform actions until cancelled."""
        try:
            while True:
                self._woken.clear()
                self._start(self._controller.tick(self._clock()))
                pause_s = self._controller.wake_at() - self._clock()
                try:
                    async with asyncio.timeout(min(MAX_SLEEP_S, max(0.005, pause_s))):
                        await self._woken.wait()
                except TimeoutError:
                    pass
        finally:
            for task in self._tasks:
                task.cancel()

    def _start(self, actions: tuple[ControlAction, ...]) -> None:
        reads = [action.upstream for action in actions if isinstance(action, ReadRecord)]
        if len(reads) >= LIST_THRESHOLD:
            self._spawn(self._list_records(reads))
        for action in actions:
            match action:
                case ReadRecord(upstream):
                    if len(reads) < LIST_THRESHOLD:
                        self._spawn(self._read_record(upstream))
                case WriteRecord():
                    self._spawn(self._write_record(action))
                case SendOrder():
                    self._spawn(self._send_order(action))
                case ReadStatus(upstream):
                    self._spawn(self._read_status(upstream))
                case ProbeVersion():
                    self._spawn(self._probe(action))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            log.error("control action failed", step="control", exc_info=exc)
        self.wake()

    async def _list_records(self, upstreams: list[str]) -> None:
        listed = await self._store.list(record_key(""))
        now = self._clock()
        match listed:
            case Ok(objects):
                by_key = {obj.key: obj for obj in objects}
                for upstream in upstreams:
                    obj = by_key.get(record_key(upstream))
                    self._take_record(upstream, obj.version if obj else 0, obj and obj.value)
            case Err():
                for upstream in upstreams:
                    self._controller.on_record_failed(upstream, now)

    async def _read_record(self, upstream: str) -> None:
        match await self._store.get(record_key(upstream)):
            case Ok(obj):
                self._take_record(upstream, obj.version if obj else 0, obj and obj.value)
            case Err():
                self._controller.on_record_failed(upstream, self._clock())

    def _take_record(self, upstream: str, version: int, value: bytes | None) -> None:
        now = self._clock()
        if value is None:
            self._controller.on_record(upstream, version, None, now)
            return
        match UpstreamRecord.decode(value):
            case Ok(record):
                self._controller.on_record(upstream, version, record, now)
            case Err(error):
                # Without its record, the upstream gets no moves.
                log.error(
                    "undecodable record refused",
                    step=error.step,
                    peer=upstream,
                    detail=error.detail,
                )
                self._controller.on_record_failed(upstream, now)

    async def _write_record(self, action: WriteRecord) -> None:
        marker = json.dumps(action.record.write_id).encode()
        res = await put_and_resolve(
            self._store,
            record_key(action.upstream),
            action.record.encode(),
            action.expected,
            lambda value: marker in value,
        )
        self._controller.on_record_written(action.upstream, res, self._clock())

    async def _send_order(self, action: SendOrder) -> None:
        controller, order = self._controller, action.order
        address = controller.address_of(action.upstream)
        sent = await self._client.request(
            address,
            "POST",
            "/admin/orders",
            headers=self._order_headers,
            body=json.dumps(order.to_json()).encode(),
            timeout_s=ORDER_TIMEOUT_S,
            # The order would be lost on an idle connection that the engine has just closed.
            new_connection=True,
            guard=lambda: controller.may_send(action, self._clock()),
        )
        now = self._clock()
        match sent:
            case Ok(res):
                if res.status >= 300:
                    log.warning(
                        "order refused",
                        step="send_order",
                        peer=action.upstream,
                        order=order.kind.value,
                        name=order.name,
                        status=res.status,
                    )
                controller.on_order_answer(action.upstream, order.order_id, res.status, now)
            case Err(error):
                controller.on_order_lost(action.upstream, order.order_id, error.sent, now)

    async def _read_status(self, upstream: str) -> None:
        async with self._status_reads:
            read_at = self._clock()
            sent = await self._client.request(
                self._controller.address_of(upstream),
                "GET",
                "/admin/status",
                timeout_s=STATUS_TIMEOUT_S,
            )
        now = self._clock()
        match sent:
            case Ok(HttpResponse(status=200) as res):
                status = decode_status(res, upstream)
                if status is not None:
                    self._controller.on_status(upstream, status, read_at, now)
                    return
        self._controller.on_status_failed(upstream, now)

    async def _probe(self, action: ProbeVersion) -> None:
        body = {
            "model": action.name,
            "prompt": "probe",
            "max_tokens": 1,
            "stream": True,
            "resume": {"version": action.version, "tokens": 0},
        }
        sent = await self._client.request(
            self._controller.address_of(action.upstream),
            "POST",
            "/v1/completions",
            headers=(("content-type", "application/json"),),
            body=json.dumps(body).encode(),
            timeout_s=PROBE_TIMEOUT_S,
        )
        ok, detail = check_probe(sent)
        self._controller.on_probe(
            action.upstream, action.name, action.version, ok, detail, self._clock()
        )


def decode_status(res: HttpResponse, upstream: str) -> EngineStatus | None:
    """Return the status in an answer, or None if it cannot be decoded."""
    try:
        body = res.json()
    except ValueError:
        return None
    parsed = EngineStatus.parse(body, upstream)
    if isinstance(parsed, Err):
        log.error(
            "undecodable status refused",
            step="parse_status",
            peer=upstream,
            detail=parsed.err_value,
        )
        return None
    return parsed.ok_value


def check_probe(sent: Ok[HttpResponse] | Err[Any]) -> tuple[bool, str]:
    """Return whether a probe passed, and the reason if it failed.

    A passed probe has status 200, contains at least one token and ends with ``[DONE]``.
    """
    match sent:
        case Ok(HttpResponse(status=200) as res):
            passed = b"[DONE]" in res.body and b'"token"' in res.body
            return (True, "") if passed else (False, "the answer has no token or no end")
        case Ok(res):
            return False, f"status {res.status}"
        case Err(error):
            return False, f"{error.step}: {error.detail}"
