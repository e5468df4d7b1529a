"""Metrics of a daemon."""
