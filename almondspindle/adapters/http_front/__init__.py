"""The entry's HTTP interface for callers, on tornado."""
