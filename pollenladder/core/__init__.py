"""Verdicts, entities, clocks and the composition root."""
