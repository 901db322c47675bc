"""Deterministic simulation of the replicated configuration: the cores of a fleet, with network, storage,
clocks, clients and faults, in one process and in virtual time.

A seed decides everything, so a failure is a seed to replay. `fleet` plays one run and `campaign` many;
`explorer` goes through all message orders of small cases; `mutants` are wrong cores that both have to catch.
Nothing that runs in production imports this package.
"""
