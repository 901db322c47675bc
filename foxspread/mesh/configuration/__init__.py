"""The operator's configuration: read, checked, held as items that each carry a version. Pure."""
