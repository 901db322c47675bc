"""Messages between processes of the mesh: netstrings of JSON over TCP, and over UDP for gossip.

Requests of clients are forwarded over HTTP instead (`foxspread.mesh.dataplane`).
"""
