"""Network protocols to callers, upstreams and peers."""
