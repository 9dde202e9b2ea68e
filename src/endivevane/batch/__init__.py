"""Batch jobs: acceptance, execution, results."""
