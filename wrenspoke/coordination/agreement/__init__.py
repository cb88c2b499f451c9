"""Consensus among control hosts, and execution of committed plans."""
