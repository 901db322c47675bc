"""The service registry: instances of servers, their heartbeats and drains, and endpoint records."""
