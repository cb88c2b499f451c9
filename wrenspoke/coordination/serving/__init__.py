"""How a request is served, from its entry to its end."""
