"""The mesh: one program for all machines. docs/design/mesh.md has the choice, docs/architecture.md the
parts, docs/glossary.md the names."""
