"""Runs, comparisons, searches, broken sidecars and what is told of them."""
