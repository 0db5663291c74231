"""Tests of almondspindle.decisions.configuration."""
