"""Failure tests that run whole clusters of processes on loopback."""
