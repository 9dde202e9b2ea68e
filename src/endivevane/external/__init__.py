"""Clients of external systems: engines, table service, object store and VM list."""
