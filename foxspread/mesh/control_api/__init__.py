"""The HTTP API of a process of the mesh, for the operator, the server beside it and the platform."""
