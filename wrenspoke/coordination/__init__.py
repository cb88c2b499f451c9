"""Decisions: routing, limits, retries, membership, agreement, plans."""
