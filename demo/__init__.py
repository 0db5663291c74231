"""The demonstration: a small fleet of real processes before stand-ins."""
