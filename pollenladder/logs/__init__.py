"""Structured logs: which events there are, how they are written and read."""
