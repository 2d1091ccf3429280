"""Options, replies, patch files and waiting for the commands."""
