"""Hollow sidecars, to measure how the cost of each role grows with the number of sidecars.

A hollow sidecar is a sidecar with its real control plane, sockets and messages, but without requests; many of
them share one process. `experiment` runs them with real replicas at several sizes, `scaling` extrapolates the
figures to a larger size, and `sizing` estimates what one process of a larger mesh holds and sends.
"""
