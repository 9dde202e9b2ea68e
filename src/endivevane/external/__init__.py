"""Clients for the outside systems that the OpenAI border uses."""
