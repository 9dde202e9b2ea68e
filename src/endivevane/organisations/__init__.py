"""Organisations: whose a request is, by the key that its client sends."""
