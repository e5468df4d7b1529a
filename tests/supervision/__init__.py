"""Tests of the supervision of loops."""
