"""HTTP API for callers: maps each path to the component that serves it."""

import uuid
from collections.abc import Callable

import structlog

from ..http import ExecutionStatus, HttpRequest, HttpResponse, Problem, Responder
from ..metrics import Metrics
from ..settings import Deployment
from .model_call import CallKind, parse_model_call
from .model_proxy import ModelProxy
from .service_proxy import ServiceProxy

__all__ = ["CallerApi"]

MODEL_PATHS = {
    "/v1/completions": CallKind.COMPLETION,
    "/v1/chat/completions": CallKind.CHAT,
}
SERVICE_PREFIX = "/services/"

log = structlog.get_logger()


class CallerApi:
    """Handles all requests on the listener for callers.

    ``deployment`` returns the deployment in force, and ``is_ready`` whether the node accepts new
    work, which is False while it drains.
    """

    def __init__(
        self,
        models: ModelProxy,
        services: ServiceProxy,
        metrics: Metrics,
        deployment: Callable[[], Deployment],
        is_ready: Callable[[], bool],
    ) -> None:
        self._models = models
        self._services = services
        self._metrics = metrics
        self._deployment = deployment
        self._is_ready = is_ready

    async def handle(self, req: HttpRequest, out: Responder) -> None:
        """Serve one request."""
        deployment = self._deployment()
        match (req.method, req.path):
            case ("GET", "/healthz"):
                await out.send(HttpResponse(200, (), b"ok\n"))
            case ("GET", "/readyz"):
                ready = self._is_ready()
                await out.send(HttpResponse(200 if ready else 503, (), b"ok\n" if ready else b""))
            case ("GET", "/v1/models"):
                await out.send(list_models(deployment))
            case ("POST", path) if path in MODEL_PATHS:
                await self._serve_model(req, MODEL_PATHS[path], deployment, out)
            case (_, path) if path.startswith(SERVICE_PREFIX):
                await self._serve_service(req, deployment, out)
            case (method, path) if path in MODEL_PATHS or path == "/v1/models":
                detail = f"{method} is not supported on {path}"
                await self._refuse(
                    out, Problem(405, "method_not_allowed", ExecutionStatus.NO, detail)
                )
            case (_, path):
                detail = f"nothing is served at {path}"
                await self._refuse(out, Problem(404, "unknown_path", ExecutionStatus.NO, detail))

    async def _serve_model(
        self, req: HttpRequest, kind: CallKind, deployment: Deployment, out: Responder
    ) -> None:
        request_id = new_request_id()
        parsed = parse_model_call(req, kind, request_id, deployment)
        if parsed.is_err():
            await self._refuse(out, parsed.unwrap_err())
            return
        call = parsed.unwrap()
        with structlog.contextvars.bound_contextvars(request_id=request_id):
            await self._models.serve(call, out)

    async def _serve_service(
        self, req: HttpRequest, deployment: Deployment, out: Responder
    ) -> None:
        request_id = new_request_id()
        name, slash, rest = req.target.removeprefix(SERVICE_PREFIX).partition("/")
        service = deployment.services.get(name)
        if service is None:
            detail = f"no service is named {name!r}"
            await self._refuse(
                out, Problem(404, "unknown_service", ExecutionStatus.NO, detail, request_id)
            )
            return
        with structlog.contextvars.bound_contextvars(request_id=request_id):
            await self._services.serve(service, slash + rest or "/", req, request_id, out)

    async def _refuse(self, out: Responder, problem: Problem) -> None:
        self._metrics.count(f"refused.{problem.reason}")
        await out.send(problem.to_response())


def new_request_id() -> str:
    """Return a new request id that is unique across all nodes."""
    return uuid.uuid4().hex


def list_models(deployment: Deployment) -> HttpResponse:
    """Return the response that lists the models and adapters in the deployment."""
    models = [{"id": name, "object": "model"} for name in sorted(deployment.models)]
    adapters = [
        {"id": adapter.name, "object": "model", "parent": adapter.base}
        for adapter in sorted(deployment.adapters.values(), key=lambda a: a.name)
    ]
    return HttpResponse.of_json({"object": "list", "data": models + adapters})
