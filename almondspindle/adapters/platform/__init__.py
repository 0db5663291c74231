"""Client for the platform's object store and host list, and the format of stored objects."""
