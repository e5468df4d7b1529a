"""Prometheus metrics of a daemon."""
