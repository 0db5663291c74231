"""Tests of almondspindle.utils."""
