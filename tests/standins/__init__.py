"""Tests of the simulated platform and endpoints."""
