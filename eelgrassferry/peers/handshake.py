"""Mutual challenge-response authentication of a link; a state machine without I/O.

The dialing side sends ``hello`` with its identity and a nonce. The accepting side replies with
``challenge``, which contains its own identity, a nonce and a proof. The dialing side sends
``proof`` and the accepting side confirms with ``welcome``. A proof is an HMAC-SHA256 over the
side, both nonces and both identities, so the proof of one side cannot be replayed as that of the
other side or on another link.

Each side signs with its first key and accepts proofs made with any of its keys. To rotate keys,
add the new key after the old one on all nodes, then move it to the front, then remove the old one.
"""

import hashlib
import hmac
from dataclasses import astuple, dataclass
from enum import Enum

import msgpack
from result import Err, Ok, Result

from .errors import HandshakeError
from .field_codec import codec_for
from .frame import PROTOCOL_VERSION, Frame
from .identity import Identity

__all__ = ["NONCE_BYTES", "Handshake"]

NONCE_BYTES = 32


class _Stage(Enum):
    WAIT_HELLO = "hello"
    WAIT_CHALLENGE = "challenge"
    WAIT_PROOF = "proof"
    WAIT_WELCOME = "welcome"
    DONE = "done"


@dataclass(frozen=True)
class _Hello:
    identity: Identity
    nonce: bytes


@dataclass(frozen=True)
class _Challenge:
    identity: Identity
    nonce: bytes
    mac: bytes


@dataclass(frozen=True)
class _Proof:
    mac: bytes


_BODIES = {_Stage.WAIT_HELLO: _Hello, _Stage.WAIT_CHALLENGE: _Challenge, _Stage.WAIT_PROOF: _Proof}


class Handshake:
    """One side of the authentication.

    ``peer`` is the identity that the peer claims; it is authenticated once ``done`` is True.
    """

    def __init__(
        self, identity: Identity, keys: tuple[str, ...], nonce: bytes, *, dialing: bool
    ) -> None:
        self.peer: Identity | None = None
        self._identity = identity
        self._keys = keys
        self._nonce = nonce
        self._peer_nonce = b""
        self._dialing = dialing
        self._stage = _Stage.WAIT_CHALLENGE if dialing else _Stage.WAIT_HELLO

    @property
    def done(self) -> bool:
        """Whether both sides have proved possession of an accepted key."""
        return self._stage is _Stage.DONE

    def start(self) -> Frame | None:
        """Return the first frame of the dialing side, or None on the accepting side."""
        return self._frame("hello", _Hello(self._identity, self._nonce)) if self._dialing else None

    def receive(self, frame: Frame) -> Result[Frame | None, HandshakeError]:
        """Process a received frame and return the frame to reply with, or None if there is none."""
        if self.done or frame.kind != self._stage.value:
            return self._fail(f"unexpected frame {frame.kind[:40]!r}")
        body = None
        if self._stage in _BODIES:
            try:
                body = codec_for(_BODIES[self._stage]).decode(frame.body)
            except (ValueError, TypeError):
                return self._fail(f"malformed {frame.kind}")
        match body:
            case _Hello(identity, nonce):
                return self._accept_identity(identity, nonce, None)
            case _Challenge(identity, nonce, mac):
                return self._accept_identity(identity, nonce, mac)
            case _Proof(mac):
                if not self._is_valid_proof(mac, "dial"):
                    return self._fail("the proof matches no accepted key")
                self._stage = _Stage.DONE
                return Ok(Frame("welcome", None))
            case _:
                self._stage = _Stage.DONE
                return Ok(None)

    def _accept_identity(
        self, identity: Identity, nonce: bytes, mac: bytes | None
    ) -> Result[Frame | None, HandshakeError]:
        if identity.name == self._identity.name:
            return self._fail("the peer uses the name of this node")
        if len(nonce) != NONCE_BYTES or nonce == self._nonce:
            return self._fail("nonce has the wrong length or equals the nonce of this node")
        self.peer, self._peer_nonce = identity, nonce
        if mac is None:
            self._stage = _Stage.WAIT_PROOF
            body = _Challenge(self._identity, self._nonce, self._sign(self._keys[0], "accept"))
            return Ok(self._frame("challenge", body))
        if not self._is_valid_proof(mac, "accept"):
            return self._fail("the proof matches no accepted key")
        self._stage = _Stage.WAIT_WELCOME
        return Ok(self._frame("proof", _Proof(self._sign(self._keys[0], "dial"))))

    def _is_valid_proof(self, mac: bytes, side: str) -> bool:
        return any([hmac.compare_digest(mac, self._sign(key, side)) for key in self._keys])

    def _sign(self, key: str, side: str) -> bytes:
        assert self.peer is not None
        own_part = (*astuple(self._identity), self._nonce)
        peer_part = (*astuple(self.peer), self._peer_nonce)
        pair = (own_part, peer_part) if self._dialing else (peer_part, own_part)
        text = msgpack.packb((PROTOCOL_VERSION, side, *pair))
        return hmac.new(key.encode(), text, hashlib.sha256).digest()

    def _fail(self, detail: str) -> Err[HandshakeError]:
        return Err(HandshakeError("handshake", self.peer.name if self.peer else "", detail))

    @staticmethod
    def _frame(kind: str, body: object) -> Frame:
        return Frame(kind, codec_for(type(body)).encode(body))
