"""Tests of jobs and queues."""
