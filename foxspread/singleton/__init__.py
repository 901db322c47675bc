"""Singleton roles: work that one instance at a time does, under a lease with a fencing token."""
