"""Rules for holding, lending and freeing the rights of entry instances."""
