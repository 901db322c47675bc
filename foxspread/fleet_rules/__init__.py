"""Versioned rules that all sidecars of a fleet apply together, rolled out in two steps under leases."""
