"""The router's HTTP client of targets, on tornado."""
