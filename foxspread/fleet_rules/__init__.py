"""What sidecars act on together: the content of a version (rules), checked in one place."""
