"""Decisions, whose results depend only on state and on arguments such as the time.

Nothing in this package uses sockets or codecs or reads a clock.
"""
