"""A replicated register whose value is the whole set of configuration items (Paxos, in the form of CASPaxos).

- `acceptor`, `proposer`, `learner`: the roles of Paxos; `replica` combines them on one machine, and
  `replica_server` runs the replica in an event loop.
- `membership`, `cluster_view`, `placement`, `reconfiguration`: the set of voting replicas, and its changes.
- `quorum_contact`: contact with a quorum, and the staleness of the local committed set.
- `snapshot_transfer`: reads missing items from peers.
- `stored_state`, `storage`: the data that a replica writes, and the SQLite file that holds it.
- `wire_format`, `paxos_messages`, `sync_messages`, `messages`: the messages and their codec.

Only `storage` and `replica_server` do I/O; the others are passed the clock, random numbers and messages.
"""
