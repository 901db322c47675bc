"""The data plane: how a request passes through the sidecar of its client and the sidecar of its server.

`request_attempts`, `instance_guard` and `headers` decide and have no I/O; `outbound_proxy`, `inbound_proxy`,
`http_server` and `upstream_connections` work on sockets.
"""
