"""Tests that compare the documentation with the code."""
