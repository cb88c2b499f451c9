"""Balancing of calls over regions and engines by their capacity."""
