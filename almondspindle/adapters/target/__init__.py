"""HTTP to targets."""
