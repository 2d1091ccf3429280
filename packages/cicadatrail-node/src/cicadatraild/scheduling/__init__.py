"""The holder of the fleet's jobs, and the entry instances in front of it."""
