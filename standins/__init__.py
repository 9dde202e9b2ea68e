"""Stand-ins for the systems around endivevane, for demos and tests."""
