"""Stand-ins for the cases of the third review: the platform's store, replicas and consumers."""
