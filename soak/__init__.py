"""Randomised soak test of daemon processes with injected faults."""
