"""Adapter to the hosting platform; no other package uses the platform's names."""
