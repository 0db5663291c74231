"""Stand-ins for the platform's service, engines and plain services."""
