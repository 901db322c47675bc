"""Hollow sidecars: the control side of many sidecars in one process, sockets and messages real, no traffic;
what each role spends by the number of sidecars, and where that leads.
"""
