"""Load tool, baselines and measures; they run real processes on loopback."""
