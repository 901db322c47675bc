"""A replicated register whose value is the whole set of configuration items (Paxos, in the form of CASPaxos).

- `acceptor`, `proposer`, `learner`: the roles of Paxos; `replica` joins them on one machine,
  `replica_server` runs it in an event loop.
- `membership`, `cluster_view`, `placement`, `reconfiguration`: who votes, and who is to vote next.
- `quorum_contact`: whether a quorum is within reach, and how stale the own state may be.
- `snapshot_transfer`: reads what is missing from peers.
- `stored_state`, `storage`: what is written, and the SQLite file that holds it.
- `wire_format`, `paxos_messages`, `sync_messages`, `messages`: the messages and their codec.

All but `storage` and `replica_server` are free of I/O: time, chance and messages are handed in.
"""
