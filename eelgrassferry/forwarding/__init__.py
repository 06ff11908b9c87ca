"""Bytes between callers and upstreams: connections, requests and answers."""

from .caller_conn import CallerConn, RequestHolder
from .caller_request import CallerRequest
from .caller_server import CallerServer
from .facts import AnswerHead, RawHeaders, RequestFacts
from .upstream_conn import AnswerListener, UpstreamConn
from .upstream_pool import UpstreamPool

__all__ = [
    "AnswerHead",
    "AnswerListener",
    "CallerConn",
    "CallerRequest",
    "CallerServer",
    "RawHeaders",
    "RequestFacts",
    "RequestHolder",
    "UpstreamConn",
    "UpstreamPool",
]
