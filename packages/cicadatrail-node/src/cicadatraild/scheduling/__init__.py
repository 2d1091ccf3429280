"""Job scheduling for the fleet: the elected leader and its entry instances."""
