"""Bounds what a host holds for slow callers and endpoints."""
