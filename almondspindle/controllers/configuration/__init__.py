"""Read, write and disseminate the configuration, and own the version in force."""
