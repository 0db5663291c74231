"""Keep the budget of retries per service."""
