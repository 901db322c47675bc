"""The journal of events in memory, and the views folded from it (the field's term: event log,
projections)."""
