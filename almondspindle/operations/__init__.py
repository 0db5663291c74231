"""What the operators' language acts on: the store, the hosts and the owners of targets."""
