"""Coordinators: a few processes that agree on one history of the rules, by Raft.

From the inside out: `raft` (the protocol, without I/O), `versions` (the state machine), `coordinator`
(both, with the calls that wait), `process` (sockets, disk, clock), `client` (callers). `messages`,
`records` and `wire` are the formats, `storage` and `transport` the I/O. Design: docs/design/consensus.md;
operation: docs/operators/coordinators.md.
"""
