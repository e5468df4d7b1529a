"""Tests of the daemon and its components."""
