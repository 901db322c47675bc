"""The world without I/O: servers, network, list, demand, virtual time."""
