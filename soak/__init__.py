"""A randomized soak test: real node processes on one machine under injected faults."""
