"""How much of the times that the design relies on real processes spend."""
