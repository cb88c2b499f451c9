"""Digests that identify a request and its prompt's parts by their content.

A caller that resends a request can use another request id and another host.
The caller, the method, the target and the body stay the same. Requests that
differ in all of these may still share parts of their prompts.
"""

import collections.abc
import hashlib
import typing

import msgspec

from wrenspoke import ids

# Long enough for collision resistance.
DIGEST_BYTES = 16
LENGTH_BYTES = 8
PART_PREFIX = 'part-'


class Fingerprint(msgspec.Struct, frozen=True):
    """Digests of a request and of its prompt's parts, in their order.

    The last part is left out: it belongs to the request alone, or to its
    session.
    """

    request: ids.ContentDigest = ids.ContentDigest('')
    parts: tuple[ids.ContentDigest, ...] = ()

    @property
    def digests(self) -> tuple[ids.ContentDigest, ...]:
        """Return all digests, those that the fewest requests share first.

        A part is usually shared together with all parts before it.
        """
        return (self.request, *reversed(self.parts))


def request_digest(
    caller: str, method: str, host: str, target: str, body: bytes
) -> ids.ContentDigest:
    """Return a request's digest as hexadecimal digits.

    ``caller`` is the team or the caller's credentials, ``host`` the requested
    host name, ``target`` the path and query. Each part is prefixed with its
    length, so that different requests never hash the same bytes.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (caller, method, host, target):
        _update_length_prefixed(
            hasher, text.encode('utf-8', 'surrogateescape')
        )
    _update_length_prefixed(hasher, body)
    return ids.ContentDigest(hasher.hexdigest())


def named_parts(
    names: collections.abc.Sequence[str],
) -> tuple[ids.ContentDigest, ...]:
    """Return the digests of prompt parts that callers name, but the last."""
    return tuple(
        _part_digest(b'name', name.encode('utf-8', 'surrogateescape'))
        for name in dict.fromkeys(names[:-1])
    )


def message_parts(
    messages: collections.abc.Sequence[dict[str, typing.Any]],
) -> tuple[ids.ContentDigest, ...]:
    """Return the digests of the messages of a chat, but the last."""
    found = (
        _part_digest(b'message', msgspec.json.encode(one, order='sorted'))
        for one in messages[:-1]
    )
    return tuple(dict.fromkeys(found))


def is_part(digest: ids.ContentDigest) -> bool:
    """Return whether a digest is one of a prompt's part."""
    return digest.startswith(PART_PREFIX)


def _part_digest(kind: bytes, content: bytes) -> ids.ContentDigest:
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    _update_length_prefixed(hasher, kind)
    hasher.update(content)
    return ids.ContentDigest(PART_PREFIX + hasher.hexdigest())


def _update_length_prefixed(hasher: hashlib.blake2b, part: bytes) -> None:
    hasher.update(len(part).to_bytes(LENGTH_BYTES))
    hasher.update(part)
