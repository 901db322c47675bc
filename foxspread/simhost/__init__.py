"""Adapter: hosts many balancers on the simulator's wire. It decodes and encodes; it decides nothing."""
