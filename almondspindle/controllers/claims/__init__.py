"""Write claims to the store in batches, and record the outcomes of claimed attempts."""
