"""Programs that build and check the project."""
