"""Serving of requests on entry hosts."""
