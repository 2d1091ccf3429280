"""Choice of workers for tasks, and what is learned about workers and jobs."""
