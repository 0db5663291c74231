"""Tests of almondspindle.programs."""
