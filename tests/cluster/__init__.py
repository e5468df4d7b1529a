"""Tests of daemons among each other."""
