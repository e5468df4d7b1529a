"""Tests of the decisions of a region's owner."""
