"""Request serving: admission, placement, forwarding, retries and replies."""
