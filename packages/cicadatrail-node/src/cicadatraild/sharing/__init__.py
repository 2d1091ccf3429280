"""What entry instances agree on through the log and peer links."""
