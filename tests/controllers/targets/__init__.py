"""Tests of almondspindle.controllers.targets."""
