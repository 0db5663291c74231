"""Measurements. Each module measures one subject and prints lines of the form `name value unit`."""
