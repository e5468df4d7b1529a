"""Shard ownership by leases, worker health, hashing and regions."""
