"""Workers: their state, the runs on them, and their health."""
