"""Settings, logs, metrics and traces of the daemon."""
