"""Access to the store, the hosts and the owners of targets for the operators' language."""
