"""The other side on loopback: servers, list source, clients, platform."""
