"""Records with a checksum, one behind the other in a file.

A record is its length and the CRC-32C of its body, four bytes each and
little-endian, then the body.
"""

import struct
import typing

import crc32c

from wrenspoke.state import errors

HEADER = struct.Struct('<II')
RECORD_LIMIT_BYTES = 64 * 1024 * 1024


class Record(typing.NamedTuple):
    """Hold a record's body and where the record starts and ends."""

    start: int
    end: int
    body: bytes


def encode(body: bytes) -> bytes:
    """Return a record for a body."""
    return HEADER.pack(len(body), crc32c.crc32c(body)) + body


def decode(name: str, data: bytes) -> tuple[list[Record], int]:
    """Return the records of a file and the size of its good part.

    A write that a crash cut short leaves a bad end with no good record
    behind it; that end is left out.

    :raises CorruptLogError: a bad record has a good one behind it
    """
    records = []
    offset = 0
    while offset < len(data):
        record = _record_at(data, offset)
        if record is not None:
            records.append(record)
            offset = record.end
            continue
        if _has_record_after(data, offset):
            raise errors.CorruptLogError(
                name, offset, 'damaged record with good ones behind it'
            )
        break
    return records, offset


def _record_at(data: bytes, offset: int) -> Record | None:
    start = offset + HEADER.size
    if start > len(data):
        return None
    size, checksum = HEADER.unpack_from(data, offset)
    end = start + size
    if size == 0 or size > RECORD_LIMIT_BYTES or end > len(data):
        return None
    body = data[start:end]
    if crc32c.crc32c(body) != checksum:
        return None
    return Record(offset, end, body)


def _has_record_after(data: bytes, offset: int) -> bool:
    """Tell whether a good record starts anywhere after ``offset``."""
    last = len(data) - HEADER.size
    return any(_record_at(data, other) for other in range(offset + 1, last))
