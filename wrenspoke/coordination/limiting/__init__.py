"""Rate limits and backoffs of teams and endpoints, shared by all hosts."""
