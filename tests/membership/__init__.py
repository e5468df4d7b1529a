"""Tests of shard ownership, worker health and hashing."""
