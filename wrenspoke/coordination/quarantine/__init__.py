"""Requests that end the endpoints that run them."""
