"""The service registry: instances of servers, their heartbeats and drains, and what sidecars say of them."""
