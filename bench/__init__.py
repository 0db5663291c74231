"""Measurements. Each module answers one question and prints `name value unit` lines."""
