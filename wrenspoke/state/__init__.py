"""Stored and replicated state: configuration, log, plans and ledger."""
