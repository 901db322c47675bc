"""The sidecar on sockets: one job a file. It carries out what the facade returns; it decides nothing."""
