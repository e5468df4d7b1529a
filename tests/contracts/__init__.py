"""Contract tests: our clients against our stand-ins, faults included."""
