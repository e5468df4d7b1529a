"""Translate between the users' platform and the product; nothing else does."""
