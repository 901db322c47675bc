"""Raft without I/O, by concern; `RaftNode` in `node` puts the concerns together.

Sources, quoted by short name in this package:

- [R]: D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (USENIX ATC 2014,
  extended version).
- [T]: D. Ongaro, "Consensus: Bridging Theory and Practice" (thesis, Stanford 2014).

One node is one state machine. `state` holds its typed state (of `types`); each other module adds the
methods of one concern to it, and calls the other concerns only through the methods that `state.RaftState`
declares for that.
"""

from foxspread.consensus.raft.node import RaftNode
from foxspread.consensus.raft.roles import LEGAL_TRANSITIONS, Role
from foxspread.consensus.raft.types import RaftSettings, Ready

__all__ = ["LEGAL_TRANSITIONS", "RaftNode", "RaftSettings", "Ready", "Role"]
