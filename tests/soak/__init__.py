"""Tests of the soak test: it detects seeded violations, and short runs find none."""
