"""Authenticated, typed message streams between daemons over TCP."""
