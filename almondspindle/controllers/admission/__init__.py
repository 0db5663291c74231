"""Count requests in flight per target and admit new ones within limits."""
