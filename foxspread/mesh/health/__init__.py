"""Which server a request goes to (the field's terms: passive health checks, outlier detection, load
balancing). The decisions are those of the sidecar in service: marks, trials, panic floor, zone groups,
rotation. Pure.
"""
