"""Coordination parts that work over a transactional table store.

The package imports nothing of the daemon and can be embedded in other programs.
"""
