"""Simple dispatch policies to compare with, behind the same HTTP interface."""
