"""Refuse requests whose prompts crash targets."""
