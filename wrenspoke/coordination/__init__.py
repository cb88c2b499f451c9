"""Routing, limits, retries, membership, consensus and operator plans."""
