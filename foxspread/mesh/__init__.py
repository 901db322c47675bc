"""The mesh: one program for all machines. docs/design/orchard.md has the choice, docs/architecture.md the
names."""
