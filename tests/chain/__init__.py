"""Tests of almondspindle.chain."""
