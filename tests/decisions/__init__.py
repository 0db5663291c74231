"""Tests of almondspindle.decisions."""
