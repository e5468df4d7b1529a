"""Tests of ownership, worker health, hashing and peers."""
