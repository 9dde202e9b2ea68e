"""The daemon that serves callers on the platform."""
