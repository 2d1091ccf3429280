"""Small helpers of the command line."""
