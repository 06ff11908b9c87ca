"""Request handler of the operators' HTTP API, independent of sockets."""

import hmac
from collections.abc import Callable
from dataclasses import asdict

from result import Err, Ok

from ..documents import MALFORMED
from ..http import ExecutionStatus, HttpRequest, HttpResponse, Problem
from ..metrics import Metrics
from ..objects import Conflict, ObjectError, ObjectStore, RateLimited, TooLarge, Unavailable
from .apply import ApplyError, apply_change
from .config_change import ApplyConflict, ConfigChange, SettingErrors, check_change
from .config_holder import ConfigHolder
from .config_request import BadRequest, decode_change
from .deployment import Deployment
from .difference import Difference, diff_deployments
from .load import list_values
from .operator_node import OperatorNode
from .revision import ConfigRecord

__all__ = ["OperatorApi"]

RETRY_AFTER_S = 2


class OperatorApi:
    """Request handler of the operators' API described in design.md section 7.

    Every request must carry the operators' token. ``on_accept`` is called with the record of each
    applied change after the holder has been updated, so that the node can push it to its peers.

    >>> # api = OperatorApi("uy-sur", token, store, holder, node)
    >>> # async def handle(req, out): await out.send(await api.handle(req))
    """

    def __init__(
        self,
        site: str,
        token: str,
        store: ObjectStore,
        holder: ConfigHolder,
        node: OperatorNode,
        *,
        metrics: Metrics | None = None,
        on_accept: Callable[[ConfigRecord], None] | None = None,
    ) -> None:
        self._site = site
        self._token = token
        self._store = store
        self._holder = holder
        self._node = node
        self._metrics = metrics or Metrics()
        self._on_accept = on_accept

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Return the response to one request, and count refused requests by reason."""
        outcome = await self._route(req)
        if isinstance(outcome, Problem):
            self._metrics.count(f"refused.{outcome.reason}")
            return outcome.to_response()
        return outcome

    async def _route(self, req: HttpRequest) -> HttpResponse | Problem:
        if not self._is_authorized(req):
            return _make_refusal(401, "unauthorized", "the bearer token is missing or wrong")
        match req.method, req.path:
            case "GET", "/status":
                return HttpResponse.of_json(asdict(self._node.status()))
            case "GET", "/config":
                return self._get_config()
            case "POST", "/config/check" | "/config/diff" | "/config/apply":
                return await self._change_config(req)
            case "POST", "/drain":
                return await self._drain(req)
            case "GET", "/explain":
                return self._explain(req)
            case _:
                detail = f"there is no {req.method} {req.path} on this listener"
                return _make_refusal(404, "no_such_call", detail)

    def _is_authorized(self, req: HttpRequest) -> bool:
        scheme, _, token = (req.header("authorization") or "").partition(" ")
        matches = hmac.compare_digest(token.strip().encode(), self._token.encode())
        return scheme.lower() == "bearer" and bool(self._token) and matches

    def _get_config(self) -> HttpResponse | Problem:
        record = self._holder.record
        if record is None:
            return _make_refusal(404, "no_config", "the site has no configuration yet")
        document = {
            "revision": record.revision,
            "base": record.base.text,
            "overlay": record.overlay.text,
            "base_file": record.base.file,
            "overlay_file": record.overlay.file,
            "change_id": record.change_id,
            "author": record.author,
        }
        return HttpResponse.of_json(document)

    async def _change_config(self, req: HttpRequest) -> HttpResponse | Problem:
        is_apply = req.path == "/config/apply"
        match decode_change(req.body, req.peer, for_apply=is_apply):
            case Err(BadRequest() as error):
                return _make_refusal(400, "malformed_request", error.message)
            case Ok(change) if is_apply:
                return await self._apply(change)
            case Ok(change):
                return self._compare(change, show_differences=req.path == "/config/diff")

    def _compare(self, change: ConfigChange, *, show_differences: bool) -> HttpResponse:
        checked = check_change(self._site, change)
        if isinstance(checked, Err):
            return _make_errors_response(checked.err_value)
        document: dict[str, object] = {"revision": self._holder.revision}
        if show_differences:
            loaded = self._holder.loaded
            old = loaded.deployment if loaded else None
            differences = _list_differences(old, checked.ok_value.deployment)
            document["differences"] = [asdict(d) for d in differences]
        return HttpResponse.of_json(document)

    async def _apply(self, change: ConfigChange) -> HttpResponse | Problem:
        match await apply_change(self._store, self._site, change):
            case Ok(record):
                # A repeated change that a later one has replaced is returned with its old
                # revision, which the holder ignores.
                if self._holder.apply_if_newer(record) == Ok(True) and self._on_accept is not None:
                    self._on_accept(record)
                document = {"revision": record.revision, "change_id": record.change_id}
                return HttpResponse.of_json(document)
            case Err(error):
                return self._make_apply_refusal(error)

    def _make_apply_refusal(self, error: ApplyError) -> HttpResponse | Problem:
        match error:
            case SettingErrors():
                self._metrics.count("refused.invalid_config")
                return _make_errors_response(error)
            case ApplyConflict():
                self._metrics.count(f"refused.config_{error.reason.value}")
                document = {
                    "reason": error.reason.value,
                    "revision": error.revision,
                    "differences": [asdict(d) for d in error.differences],
                    "complete": error.complete,
                }
                return HttpResponse.of_json(document, 409)
            case _:
                return _make_store_problem(error)

    async def _drain(self, req: HttpRequest) -> HttpResponse | Problem:
        try:
            document = HttpResponse(0, (), req.body).json()
            name = document["name"]
        except MALFORMED:
            name = None
        if not isinstance(name, str) or not name:
            return _make_refusal(400, "malformed_request", "the body has no field 'name'")
        match await self._node.drain(name):
            case Ok(state):
                return HttpResponse.of_json({"name": name, "state": state})
            case Err(error):
                return _make_refusal(404, "cannot_drain", error.message)

    def _explain(self, req: HttpRequest) -> HttpResponse | Problem:
        request_id, model = req.query.get("request_id", ""), req.query.get("model", "")
        if bool(request_id) == bool(model):
            detail = "give either request_id or model"
            return _make_refusal(400, "malformed_request", detail)
        found = self._node.explain(request_id, model)
        if found is None:
            detail = f"this node knows nothing of {request_id or model!r}"
            return _make_refusal(404, "nothing_to_explain", detail)
        return HttpResponse.of_json(asdict(found))


def _make_refusal(status: int, reason: str, detail: str) -> Problem:
    return Problem(status, reason, ExecutionStatus.NO, detail)


def _make_errors_response(errors: SettingErrors) -> HttpResponse:
    return HttpResponse.of_json({"errors": [asdict(error) for error in errors.errors]}, 422)


def _list_differences(old: Deployment | None, new: Deployment) -> tuple[Difference, ...]:
    if old is not None:
        return diff_deployments(old, new)
    return tuple(Difference(v.section, v.key, None, v.value) for v in list_values(new))


def _make_store_problem(error: ObjectError) -> Problem:
    """Return the problem for a failed write, including whether the change may be in force."""
    match error:
        case TooLarge():
            detail = f"the configuration has {error.size_bytes} bytes, more than an object holds"
            return Problem(413, "config_too_large", ExecutionStatus.NO, detail, step=error.step)
        case RateLimited():
            detail = "the object API refuses calls over its rate"
            status, reason, ran = 429, "object_api_rate", ExecutionStatus.NO
        case Conflict():
            detail = "other changes were written in between every time"
            status, reason, ran = 503, "config_contended", ExecutionStatus.NO
        case Unavailable():
            detail = f"the object API does not answer: {error.detail}"
            ran = ExecutionStatus.UNKNOWN if error.uncertain else ExecutionStatus.NO
            status, reason = 503, "object_api_down"
    return Problem(
        status, reason, ran, detail, retry_after_s=RETRY_AFTER_S, step=error.step, peer=error.peer
    )
