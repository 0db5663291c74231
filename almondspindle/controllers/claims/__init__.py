"""Write claims to the store in batches, and record how claimed attempts ended."""
