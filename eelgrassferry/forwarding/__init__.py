"""HTTP/1.1 connections to callers and upstreams, and the requests and answers on them."""

from .caller_conn import CallerConn, CallerListener
from .caller_request import CallerRequest
from .caller_server import CallerServer
from .facts import AnswerHead, RawHeaders, RequestMetadata
from .upstream_conn import AnswerListener, UpstreamConn
from .upstream_pool import UpstreamPool

__all__ = [
    "AnswerHead",
    "AnswerListener",
    "CallerConn",
    "CallerListener",
    "CallerRequest",
    "CallerServer",
    "RawHeaders",
    "RequestMetadata",
    "UpstreamConn",
    "UpstreamPool",
]
