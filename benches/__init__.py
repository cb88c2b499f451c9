"""Measurements; each prints JSON and says what it ran."""
