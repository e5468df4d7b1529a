"""Decisions of the owner: which task runs where and when, and what is refused."""
