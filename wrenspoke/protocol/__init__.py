"""Messages, headers and HTTP APIs of callers, hosts and endpoints."""
