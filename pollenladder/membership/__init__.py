"""Peers, workers, shard ownership, drain and quarantine."""
