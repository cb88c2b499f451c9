"""Membership: host discovery, endpoint registry and load reports."""
