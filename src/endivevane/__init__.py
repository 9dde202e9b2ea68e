"""Serving system for online and batch LLM inference on a shared fleet."""

__version__ = "0.1.0"
