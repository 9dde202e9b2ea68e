"""Quarantine of requests that crash the targets which run them."""
