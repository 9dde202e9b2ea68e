"""Serve online and batch LLM inference from one shared fleet."""

__version__ = "0.1.0"
