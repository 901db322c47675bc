"""foxspread: a sidecar balancer for service-to-service calls."""
