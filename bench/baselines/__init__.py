"""Policies that the product is compared with, behind the same HTTP."""
