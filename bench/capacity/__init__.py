"""Slopes of what daemons spend, and the target's arithmetic on them."""
