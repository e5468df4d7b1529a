"""Tests of the logs and of what is read from them."""
