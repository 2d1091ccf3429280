"""Rules on how long a leader may act, and when its successor may rely on its end."""
