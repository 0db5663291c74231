"""Tests of almondspindle.language."""
