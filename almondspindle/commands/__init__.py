"""Commands of the operators' command line, one class per module."""
