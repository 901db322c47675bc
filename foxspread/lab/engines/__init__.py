"""Engines that run a scenario in virtual time or against real sidecar processes."""
