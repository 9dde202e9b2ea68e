"""Batch jobs: files, job creation, execution and results."""
