"""The deterministic fold of the log into the shared state."""
