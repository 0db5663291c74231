"""Collect what is measured of requests."""
