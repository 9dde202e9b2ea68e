"""The daemon that serves clients on the platform."""
