"""Raft without I/O.

Sources, cited in this package as [R] and [T]:

- [R]: D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (USENIX ATC 2014,
  extended version).
- [T]: D. Ongaro, "Consensus: Bridging Theory and Practice" (thesis, Stanford 2014).

A node's state is defined in `state`, with the types of `types`. Each concern (election, replication, ...) is
a mixin class in a module of its own, and calls other concerns only through methods that `state.RaftState`
declares. `node.RaftNode` combines all mixins.
"""

from foxspread.consensus.raft.node import RaftNode
from foxspread.consensus.raft.roles import LEGAL_TRANSITIONS, Role
from foxspread.consensus.raft.types import RaftSettings, Ready

__all__ = ["LEGAL_TRANSITIONS", "RaftNode", "RaftSettings", "Ready", "Role"]
