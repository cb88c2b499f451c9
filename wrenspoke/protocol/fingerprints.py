"""Digests that identify a request by its content.

A caller that resends a request can use another request id and another host.
The caller, the method, the target and the body stay the same.
"""

import hashlib

from wrenspoke import ids

# Long enough for collision resistance.
DIGEST_BYTES = 16
LENGTH_BYTES = 8


def request_digest(
    caller: str, method: str, host: str, target: str, body: bytes
) -> ids.RequestDigest:
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
    return ids.RequestDigest(hasher.hexdigest())


def _update_length_prefixed(hasher: hashlib.blake2b, part: bytes) -> None:
    hasher.update(len(part).to_bytes(LENGTH_BYTES))
    hasher.update(part)
