"""Fairness between teams, upper limits, retries and request identity."""
