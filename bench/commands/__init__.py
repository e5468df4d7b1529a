"""Subcommands of `scripts/bench`."""
