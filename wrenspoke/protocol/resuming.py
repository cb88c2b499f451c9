"""Messages about the builds that began resumable streams."""

import msgspec

from wrenspoke import ids


class StreamBuild(msgspec.Struct, array_like=True, frozen=True):
    """Build that the first event of a stream came from.

    ``request`` is the request that began the stream. A record is kept for
    ``ttl_ms``.
    """

    request: ids.RequestId
    build: ids.BuildId
    ttl_ms: int


class StoreBuild(msgspec.Struct, tag='store_build'):
    """Store the build of a stream.

    With ``replicate`` the receiver also sends it to the hosts of its region
    that keep it.
    """

    record: StreamBuild
    replicate: bool = False


class StoreBuildReply(msgspec.Struct, tag='build_stored'):
    """Reply once the build has been stored."""


class FindBuild(msgspec.Struct, tag='find_build'):
    """Ask for the build that began the stream of a request.

    With ``search`` the receiver also asks the hosts of its region that keep
    it.
    """

    request: ids.RequestId
    search: bool = False


class FindBuildReply(msgspec.Struct, tag='build_found'):
    """Reply with the stored build, None if unknown."""

    build: ids.BuildId | None = None
