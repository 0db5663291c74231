"""Hold the configuration in force."""
