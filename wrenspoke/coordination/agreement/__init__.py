"""How control hosts agree, and what they order."""
