"""Rate limits per team at this entry."""
