"""Which hosts and endpoints there are, and what they hold."""
