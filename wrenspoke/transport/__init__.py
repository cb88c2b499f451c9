"""Transport between processes: HTTP over aiohttp, links over pyzmq."""
