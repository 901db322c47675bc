"""A local cluster: a whole mesh on one machine, to try it out.

Each simulated machine has a process and a loopback address of its own. `layout` assigns the addresses and
writes the settings files, `supervisor` starts and restarts the processes, `smoke_test` tests the mesh.
"""
