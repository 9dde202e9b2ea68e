"""Software versions of targets, one of which each resumable stream belongs to."""
