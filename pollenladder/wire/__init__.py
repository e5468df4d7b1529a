"""The message protocol between daemons."""
