"""Tests of `almondspindle.platform`."""
