"""Write claims to the store in batches, and settle them from the entries."""
