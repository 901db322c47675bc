"""Emulators of the application's servers, its operator and its clients, as the platform specifies them.

Each one writes an event record of what it saw, from which the invariant checkers verify a run.
"""
