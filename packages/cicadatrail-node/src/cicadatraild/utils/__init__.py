"""General-purpose helpers of the daemon."""
