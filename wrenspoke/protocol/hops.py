"""Signed header of requests that one host forwards to another.

It carries the routing state of the first host, so that the next host need
not trust a caller's headers: the path of hosts so far, the remaining time and
the request's constraints. It is signed with the cluster's key.
"""

import base64
import binascii
import hashlib
import hmac

import msgspec

from wrenspoke import ids
from wrenspoke.protocol import errors
from wrenspoke.protocol import requests

SIGNATURE_BYTES = 32


class Hop(msgspec.Struct, array_like=True, frozen=True):
    """Routing state of a forwarded request."""

    cluster: str
    path_of_hosts: tuple[ids.HostId, ...]
    expires_ms: int
    left_ms: int
    request: ids.RequestId
    attempt: int
    resend: bool
    home: ids.RegionId | None
    bound: bool
    once: bool
    priority: requests.Priority
    digest: ids.ContentDigest = ids.ContentDigest('')


class HopSigner:
    """Signs and verifies hop headers with the cluster's key."""

    def __init__(self, cluster: str, key: bytes):
        self._cluster = cluster
        self._key = key

    def sign(
        self,
        head: requests.RequestHead,
        host: ids.HostId,
        wall_ms: int,
        left_ms: int,
    ) -> str:
        """Return the header value for a request that ``host`` forwards."""
        hop = Hop(
            cluster=self._cluster,
            path_of_hosts=(*head.path_of_hosts, host),
            expires_ms=wall_ms + left_ms,
            left_ms=left_ms,
            request=head.request,
            attempt=head.attempt,
            resend=head.resend,
            home=head.home,
            bound=head.bound,
            once=head.once,
            priority=head.priority,
            digest=head.fingerprint.request,
        )
        body = msgspec.msgpack.encode(hop)
        return base64.urlsafe_b64encode(self._mac(body) + body).decode()

    def verify(self, text: str, wall_ms: int, skew_ms: int) -> Hop:
        """Return the hop in a header value, after checking its signature.

        :raises InvalidHopError: no host of this cluster signed it, or it
            has expired
        """
        try:
            raw = base64.urlsafe_b64decode(text.encode())
        except (binascii.Error, UnicodeEncodeError) as error:
            raise errors.InvalidHopError('hop is not base64') from error
        mac, body = raw[:SIGNATURE_BYTES], raw[SIGNATURE_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            raise errors.InvalidHopError('hop has an invalid signature')
        hop = msgspec.msgpack.decode(body, type=Hop)
        if hop.cluster != self._cluster:
            raise errors.InvalidHopError('hop belongs to another cluster')
        if hop.expires_ms + skew_ms < wall_ms:
            raise errors.InvalidHopError('hop has expired')
        return hop

    def _mac(self, body: bytes) -> bytes:
        return hmac.new(self._key, body, hashlib.sha256).digest()
