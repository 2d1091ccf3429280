"""Small helpers of the daemon without a domain of their own."""
