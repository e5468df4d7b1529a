"""Loops that must not end while a daemon runs."""
