"""Loading, validation, publishing and snapshots of the operators' configuration."""
