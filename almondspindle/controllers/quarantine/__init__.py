"""Refuse requests that crash targets."""
