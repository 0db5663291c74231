"""Keep a local copy of the records in the platform's store, read from it or from peers."""
