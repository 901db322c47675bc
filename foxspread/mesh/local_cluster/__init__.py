"""The mesh on one machine, for trying it out: a process for each machine of a site, each on a loopback
address of its own (the field's term: a local cluster). `plot` lays it out, `growing` keeps it up, `trial`
tries it.
"""
