"""What is said over the transports: callers, hosts, endpoints."""
