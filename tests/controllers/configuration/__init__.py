"""Tests of almondspindle.controllers.configuration."""
