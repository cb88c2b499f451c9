"""Encoding of a file as a sequence of records with checksums.

A record is the length of its body and the CRC-32C of the body, each as a
little-endian 32-bit integer, followed by the body.
"""

import struct
import typing

import crc32c

from wrenspoke.state import errors

HEADER = struct.Struct('<II')
RECORD_LIMIT_BYTES = 64 * 1024 * 1024


class Record(typing.NamedTuple):
    """Body of a record and the byte offsets of its start and end."""

    start: int
    end: int
    body: bytes


def encode(body: bytes) -> bytes:
    """Return a body encoded as a record."""
    return HEADER.pack(len(body), crc32c.crc32c(body)) + body


def decode(name: str, data: bytes) -> tuple[list[Record], int]:
    """Return the records of a file and the size in bytes of its valid part.

    A write that a crash interrupted leaves an invalid tail without a valid
    record after it; the tail is skipped.

    :raises CorruptLogError: a valid record follows an invalid one
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
                name, offset, 'invalid record followed by a valid one'
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
    """Return whether a valid record starts anywhere after ``offset``."""
    last = len(data) - HEADER.size
    return any(_record_at(data, other) for other in range(offset + 1, last))
