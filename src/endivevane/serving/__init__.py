"""Serving of routed requests and batch jobs on a platform that keeps all state."""
