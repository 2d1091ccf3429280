"""Planning of moves between the spare pool and the others."""
