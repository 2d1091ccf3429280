"""Connections to callers, upstreams and peers."""
