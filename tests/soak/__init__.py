"""Tests of the soak itself, and a short round of it."""
