"""The `foxspread` command. Nothing here is loaded by the sidecar that the platform starts."""
