"""Declared plans and customers, and the allowances of the plans."""
