"""Simulated platforms and endpoints for tests and benchmarks."""
