"""Deterministic fold of log records into the replicated state."""
