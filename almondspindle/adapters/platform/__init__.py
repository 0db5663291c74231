"""The platform's object API and host list."""
