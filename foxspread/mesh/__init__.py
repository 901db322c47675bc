"""The service mesh: one program that runs on all machines, as a sidecar or as a replica.

docs/design/mesh.md explains this choice, docs/architecture.md the parts, docs/glossary.md the names.
"""
