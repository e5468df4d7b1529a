"""Simulated owners, gateways and workers, in search of two runs of one task."""
