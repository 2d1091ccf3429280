"""The path of a request from caller to worker and back."""
