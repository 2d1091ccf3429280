"""HTTP client of the instances' admin listeners."""
