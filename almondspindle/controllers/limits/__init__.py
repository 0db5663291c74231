"""Hold teams to their rate of requests at this entry."""
