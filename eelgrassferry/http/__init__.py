"""HTTP/1.1 client and server over asyncio streams, with h11 as the protocol implementation."""

from .address import peer_address, split_address
from .answer_framing import MAX_STATUS, ends_with_connection
from .body_length import named_body_length
from .client import HttpClient, HttpError, HttpStream
from .limits import HttpLimits
from .listener import Listener
from .liveness import set_liveness_options
from .message import HttpRequest, HttpResponse, find_header
from .problem import ExecutionStatus, Problem
from .responder import Responder
from .sent_check import SENT_CHECK_INTERVAL_S, SentCheck
from .server import HttpServer
from .sse import SseParser, format_event

__all__ = [
    "MAX_STATUS",
    "SENT_CHECK_INTERVAL_S",
    "ExecutionStatus",
    "HttpClient",
    "HttpError",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "HttpStream",
    "Listener",
    "Problem",
    "Responder",
    "SentCheck",
    "SseParser",
    "ends_with_connection",
    "find_header",
    "format_event",
    "named_body_length",
    "peer_address",
    "set_liveness_options",
    "split_address",
]
