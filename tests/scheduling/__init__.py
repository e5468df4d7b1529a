"""Tests of the owner's decisions."""
