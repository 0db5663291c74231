"""The directory of targets: their owners, and their ranking for a chat."""
