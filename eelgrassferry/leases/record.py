"""The encoding of a lease in its object."""

import json
from dataclasses import asdict, dataclass

from result import Err, Ok, Result

from ..documents import MALFORMED, to_count, to_number

__all__ = ["LeaseFormatError", "LeaseRecord"]


@dataclass(frozen=True)
class LeaseFormatError:
    """Error for a lease object that cannot be decoded."""

    step: str
    peer: str
    detail: str


@dataclass(frozen=True)
class LeaseRecord:
    """The holder, epoch and duration of a lease.

    ``released`` is the holder's promise that it sends nothing under the lease from now on.
    ``held_s`` is the time in seconds, up to this write, in which only the holder's host has held
    the lease. ``era`` is the era of the store for which it was written.

    >>> LeaseRecord.decode(LeaseRecord("n1:a", 3, 9.0, "n1:a/1").encode()).unwrap().epoch
    3
    """

    holder: str
    epoch: int
    duration_s: float
    write_id: str
    released: bool = False
    held_s: float = 0.0
    era: int = 0

    def encode(self) -> bytes:
        """Return the record as JSON."""
        return json.dumps(asdict(self), separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> Result["LeaseRecord", LeaseFormatError]:
        """Decode the value of a lease object."""
        try:
            fields = json.loads(value)
            return Ok(
                cls(
                    holder=str(fields["holder"]),
                    epoch=to_count(fields["epoch"]),
                    duration_s=to_number(fields["duration_s"]),
                    write_id=str(fields["write_id"]),
                    released=bool(fields["released"]),
                    # Records written by earlier versions lack the field; 0 is the safe default.
                    held_s=to_number(fields.get("held_s", 0.0)),
                    era=to_count(fields.get("era", 0)),
                )
            )
        except MALFORMED as exc:
            return Err(LeaseFormatError("decode_lease", "", repr(exc)))
