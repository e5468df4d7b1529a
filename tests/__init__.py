"""Tests, laid out as the packages they cover."""
