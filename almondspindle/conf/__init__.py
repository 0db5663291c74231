"""Settings of the programs: flags and environment variables, validated."""
