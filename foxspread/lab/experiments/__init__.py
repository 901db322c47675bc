"""Runs, comparisons and searches over scenarios, deliberately broken sidecars, and reports."""
