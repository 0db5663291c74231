"""Tests of almondspindle.conf."""
