"""Adapter between the users' platform and the rest of the product.

No other package knows the platform's field names, paths or settings.
"""
