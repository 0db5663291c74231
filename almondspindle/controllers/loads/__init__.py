"""Polls of the owned targets that report their load."""
