"""The daemon process: settings, wiring and operator routes."""
