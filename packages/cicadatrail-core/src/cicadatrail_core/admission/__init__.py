"""Fair queueing, preemption, retry budgets and request deduplication."""
