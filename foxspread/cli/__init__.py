"""The `foxspread` command. A sidecar started with `python -m foxspread` imports nothing from here."""
