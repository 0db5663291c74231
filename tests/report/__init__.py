"""Tests of almondspindle.report."""
