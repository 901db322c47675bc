"""Rules that all sidecars act on together: versions, rolled out in two phases under leases."""
