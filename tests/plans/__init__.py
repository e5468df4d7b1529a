"""Tests of the plans package."""
