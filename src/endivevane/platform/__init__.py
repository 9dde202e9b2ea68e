"""Clients for the outside systems of the platform."""
