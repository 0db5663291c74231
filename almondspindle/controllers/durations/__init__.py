"""Measure how long requests of each route take."""
