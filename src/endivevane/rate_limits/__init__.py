"""Rate limits that targets name, kept by all daemons together."""
