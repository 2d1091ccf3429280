"""The commands, one a module, imported only when they are run."""
