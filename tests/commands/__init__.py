"""Tests of almondspindle.commands."""
