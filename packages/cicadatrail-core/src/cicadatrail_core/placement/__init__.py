"""Choice of a worker for a task, and what is learned about workers."""
