"""Tests of almondspindle.core."""
