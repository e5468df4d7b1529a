"""Tests of the load generator and the measures."""
