"""How processes of the mesh talk to each other: netstrings of JSON over TCP, and over UDP for gossip.

Requests of services take another path, HTTP (`foxspread.mesh.dataplane`).
"""
