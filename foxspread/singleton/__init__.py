"""Work on behalf of the fleet, one owner at a time; one that wakes up late does no harm."""
