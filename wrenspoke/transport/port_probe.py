"""Ask the system of another host whether a program listens there."""

import asyncio
import socket

from wrenspoke import clock as clocks


async def is_connection_refused(address: str, timeout_ms: int) -> bool:
    """Tell whether nobody listens at an ``IP:PORT``.

    A system that lives refuses connections for a program that has ended. No
    answer, as of a host that is cut off or too busy, says nothing.
    """
    ip, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as opened:
        opened.setblocking(False)
        try:
            async with clocks.timeout_ms(timeout_ms):
                await loop.sock_connect(opened, (ip, int(port)))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
    return False
