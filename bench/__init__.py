"""Load generator, baselines and measures, run as processes on loopback."""
