"""Tests of what is known of workers."""
