"""Quotas of organisations, kept by all daemons together."""
