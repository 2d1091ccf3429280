"""Planning of maintenance waves within availability budgets."""
