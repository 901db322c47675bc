"""The operator's configuration: parsing, validation and versioned items. This package does no I/O."""
