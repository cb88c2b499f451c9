"""Stand-ins for the systems that wrenspoke meets, for tests and benches."""
