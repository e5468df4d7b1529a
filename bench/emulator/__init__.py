"""The owner's decisions under a recorded or drawn load, in simulated time."""
