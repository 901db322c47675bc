"""Foxspread's own model of its world: scenarios, two engines, ledgers, the rule check and experiments."""
