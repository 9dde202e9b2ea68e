"""Stand-ins for the systems that endivevane depends on, for demos and tests."""
