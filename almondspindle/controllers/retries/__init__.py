"""Retry budgets per service."""
