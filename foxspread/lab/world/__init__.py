"""Simulated environment without I/O: servers, network, endpoint list, client load and virtual time."""
