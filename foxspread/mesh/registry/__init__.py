"""Servers: their beats, drains and lives (the field's term: service registry). Pure."""
