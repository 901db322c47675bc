"""The soak: real processes under load and disruptions, drawn from a seed and judged from outside.

`plan` draws what happens, `load` has the clients, `disruption` sends the signals, `judge` has one module for
each rule, and `run` puts them together. Nothing that the mesh reports of itself counts.
"""
