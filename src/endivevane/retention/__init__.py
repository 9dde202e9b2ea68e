"""Deletes batch data and at-most-once rows after their retention periods."""
