"""Tests of workers and their health."""
