"""Deterministic simulation of the replicated configuration: the protocol classes of a fleet run in one
process and in virtual time, on a simulated network, storage, clocks and clients, with faults.

A seed determines a whole run, so a failure is reproduced from its seed. `fleet` plays one run and `campaign`
many; `explorer` visits all message orders of small cases; `mutants` lists deliberately broken protocol
classes, each of which a run or the explorer has to catch. Production code does not import this package.
"""
