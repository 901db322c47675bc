"""Coordinators: a small cluster of processes that agree on the versions of the rules through Raft.

Modules, from the inside out: `raft` is the protocol without I/O, `versions` the replicated state machine,
`coordinator` combines both and tracks pending calls, `process` connects it to sockets, disk and clock, and
`client` calls it over HTTP. `messages`, `records` and `wire` define the formats; `storage` and `transport`
do the I/O. Design: docs/design/consensus.md; operation: docs/operators/coordinators.md.
"""
