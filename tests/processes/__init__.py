"""Tests of failures, over whole clusters of processes on loopback."""
