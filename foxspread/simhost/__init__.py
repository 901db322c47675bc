"""Adapter that hosts many balancers for the simulator. It decodes events and encodes decisions."""
