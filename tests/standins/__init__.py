"""Stand-ins for the platform, engines, plain services and callers."""
