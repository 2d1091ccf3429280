"""The client of the admin listeners."""
