"""Types that every package shares: messages, outcomes, identifiers, events and checks."""
