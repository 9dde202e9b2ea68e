"""Membership, messages between daemons and the configuration feed."""
