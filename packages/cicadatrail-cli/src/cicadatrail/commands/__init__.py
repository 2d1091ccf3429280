"""The commands, one per module; a module is imported when its command runs."""
