"""Commands of the operators' command line, one class a module."""
