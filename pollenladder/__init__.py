"""Dispatch sub-second tasks within declared allowances."""
