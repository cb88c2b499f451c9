"""Fake engines, services and networks for tests and benchmarks."""
