"""Client for the operator listener of a node."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter
from result import Err, Ok, Result

from ..http import HttpClient

__all__ = ["NodeAccess", "OperatorClient", "OperatorReply", "Unreachable", "UsageError"]

TOKEN_VARIABLE = "EELGRASSFERRY_TOKEN"


@Parameter(name="*")
@dataclass(frozen=True)
class NodeAccess:
    """Command line options for access to a node."""

    node: Annotated[str, Parameter(help="The node's operator listener, as ip:port.")]
    token_file: Annotated[
        Path | None,
        Parameter(help=f"File with the operators' token; {TOKEN_VARIABLE} where it is not given."),
    ] = None
    timeout: Annotated[float, Parameter(help="Seconds to wait for each answer.")] = 10.0


@dataclass(frozen=True)
class UsageError:
    """Error: the command line options are invalid."""

    step: str
    peer: str
    message: str


@dataclass(frozen=True)
class Unreachable:
    """Error: there was no valid answer from the node.

    ``sent`` is False only if the node cannot have received the request.
    """

    step: str
    peer: str
    sent: bool
    detail: str


@dataclass(frozen=True)
class OperatorReply:
    """A response with its status code and its JSON document."""

    status: int
    document: Any


class OperatorClient:
    """HTTP client that sends requests with the operators' token to one node."""

    def __init__(self, address: str, token: str, timeout_s: float) -> None:
        self.address = address
        self._token = token
        self._timeout_s = timeout_s
        self._http = HttpClient()

    @classmethod
    def from_access(cls, access: NodeAccess) -> "Result[OperatorClient, UsageError]":
        """Return a client for the given options, or an error if they are invalid."""
        host, _, port = access.node.rpartition(":")
        if not host or not port.isdecimal():
            message = f"--node {access.node!r} is not ip:port"
            return Err(UsageError("read_options", access.node, message))
        if access.token_file is None:
            token = os.environ.get(TOKEN_VARIABLE, "")
        else:
            try:
                token = access.token_file.read_text(encoding="utf-8")
            except (OSError, UnicodeDecodeError) as exc:
                message = f"the token file cannot be read: {exc}"
                return Err(UsageError("read_token", access.node, message))
        if not token.strip() or not token.strip().isprintable():
            message = f"no token: give --token-file or set {TOKEN_VARIABLE}"
            return Err(UsageError("read_token", access.node, message))
        return Ok(cls(access.node, token.strip(), access.timeout))

    async def call(
        self, method: str, target: str, body: bytes = b""
    ) -> Result[OperatorReply, Unreachable]:
        """Send a request and return the reply; a response that is not JSON is an error."""
        headers = (
            ("authorization", f"Bearer {self._token}"),
            ("content-type", "application/json"),
        )
        answer = await self._http.request(
            self.address, method, target, headers=headers, body=body, timeout_s=self._timeout_s
        )
        match answer:
            case Err(error):
                return Err(Unreachable(error.step, error.peer, error.sent, error.detail))
            case Ok(res):
                try:
                    return Ok(OperatorReply(res.status, res.json()))
                except ValueError:
                    detail = f"status {res.status} without JSON; this is no operator listener"
                    return Err(Unreachable("decode_answer", self.address, True, detail))

    def close(self) -> None:
        """Close the connection."""
        self._http.close()
