"""Chooses the server of each attempt: load balancing, passive health checks and outlier detection. No I/O.

The decisions are those of `foxspread.decisions`: ejection, trial requests, panic mode, zones and rotation.
"""
