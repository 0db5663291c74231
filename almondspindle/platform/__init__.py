"""Translate the names, formats and calls of the users' platform to and from the project's types."""
