"""Settings of the programs, read from flags and environment variables and validated."""
