"""Types shared by all packages: messages, outcomes, identifiers, events and checks."""
