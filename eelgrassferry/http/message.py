"""HTTP requests and responses with their whole body in memory."""

import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlsplit

__all__ = ["Headers", "HttpRequest", "HttpResponse", "find_header"]

Headers = tuple[tuple[str, str], ...]


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of the header ``name`` (in lower case), or None.

    >>> find_header((("etag", '"7"'),), "etag")
    '"7"'
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


@dataclass(frozen=True)
class HttpRequest:
    """A request with its whole body. ``target`` is the path with its query."""

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    peer: str = ""

    @property
    def path(self) -> str:
        """The path without its query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """The query parameters; the last value of a repeated name is used."""
        return dict(parse_qsl(urlsplit(self.target).query, keep_blank_values=True))

    def header(self, name: str) -> str | None:
        """Return the first value of the header ``name`` (in lower case), or None."""
        return find_header(self.headers, name)


@dataclass(frozen=True)
class HttpResponse:
    """A response with its whole body."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    @classmethod
    def of_json(cls, value: Any, status: int = 200, headers: Headers = ()) -> "HttpResponse":
        """Return a response whose body is ``value`` encoded as JSON."""
        body = json.dumps(value, separators=(",", ":")).encode()
        return cls(status, (("content-type", "application/json"), *headers), body)

    def header(self, name: str) -> str | None:
        """Return the first value of the header ``name`` (in lower case), or None."""
        return find_header(self.headers, name)

    def json(self) -> Any:
        """Return the body decoded as JSON; raise ``ValueError`` if it is not valid."""
        return json.loads(self.body)
