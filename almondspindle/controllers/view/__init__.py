"""What this host believes the platform's store to hold, from the store or from peers."""
