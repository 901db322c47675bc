"""The HTTP API of a process of the mesh: for the operator, for the server beside it and for the platform."""
