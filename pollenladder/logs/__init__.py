"""Structured logs: the list of events, writing lines and explaining jobs."""
