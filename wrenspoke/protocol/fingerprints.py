"""Name a request by what it asks for, so that it is known again.

A caller that asks again uses another request id, and may ask another host.
What stays the same is who asks, the method, the target and the body.
"""

import hashlib

from wrenspoke import ids

# Nobody finds two requests of one digest by trying.
DIGEST_BYTES = 16
LENGTH_BYTES = 8


def request_digest(
    caller: str, method: str, host: str, target: str, body: bytes
) -> ids.RequestDigest:
    """Return a request's digest as hexadecimal digits.

    ``caller`` is the team, or what the caller shows of itself, ``host`` the
    name that it asks, ``target`` the path and query. Each part goes with its
    length, so that no two requests run into one another.
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
