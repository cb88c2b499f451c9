"""What the system remembers: configuration, log, plans and ledger."""
