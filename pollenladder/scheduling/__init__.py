"""Decisions of a region's owner: admission, placement and the life of runs."""
