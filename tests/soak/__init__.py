"""Tests of the soak test, including short rounds of it."""
