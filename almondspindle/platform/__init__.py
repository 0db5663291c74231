"""The users' platform: its names, formats and calls, translated into the project's types."""
