"""The system's own state: one set of items that the machines with a disk agree on (the field's terms:
replicated register, CASPaxos; acceptor, proposer, learner). Cores without I/O; `disk` is their adapter.
"""
