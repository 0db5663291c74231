"""The demonstration: a small fleet of real processes that runs against stand-ins."""
