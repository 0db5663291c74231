"""Tests of almondspindle.adapters."""
