"""The path of a request through both sidecars (the field's terms: data plane, proxying). `errand` decides
and has no I/O; `serving` and `lanes` are the sockets.
"""
