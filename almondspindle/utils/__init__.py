"""Utilities for sockets, timers and tasks, and the generator of the reference pages."""
