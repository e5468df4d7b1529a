"""Load generation and measurement over real processes."""
