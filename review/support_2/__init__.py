"""Shared parts of the review's scripts: node processes, a recorder and small callers."""
