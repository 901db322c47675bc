"""Singleton roles: work on behalf of the fleet that one instance does at a time, under a fencing token."""
