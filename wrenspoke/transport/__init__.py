"""Bytes between processes: HTTP by aiohttp and keyed links by pyzmq."""
