"""Benchmarks of wrenspoke; each module runs with ``python -m``."""
