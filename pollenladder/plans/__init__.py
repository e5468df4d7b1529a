"""Declared plans and customers, and the allowances they carry."""
