"""Rules, judged from ledgers alone."""
