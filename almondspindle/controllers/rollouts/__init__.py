"""Move a service's traffic to another version, and back if the version is bad."""
