"""Check whether a process listens at a TCP address."""

import asyncio
import socket

from wrenspoke import clock as clocks


async def is_connection_refused(address: str, timeout_ms: int) -> bool:
    """Return whether a connection to an ``IP:PORT`` is refused.

    The kernel of a live host refuses connections to a port on which no
    process listens. False if the connection is accepted, or if it times
    out or fails otherwise, as on a partitioned or overloaded host.
    """
    ip, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setblocking(False)
        try:
            async with clocks.timeout_ms(timeout_ms):
                await loop.sock_connect(sock, (ip, int(port)))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
    return False
