"""A few coordinators that agree on one log: the core (pure), its disk, the process round it."""
