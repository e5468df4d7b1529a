"""Tests of the audit package."""
