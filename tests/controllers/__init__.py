"""Tests of almondspindle.controllers."""
