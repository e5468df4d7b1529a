"""Run the owner's scheduling code under a load in simulated time."""
