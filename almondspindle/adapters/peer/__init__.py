"""gRPC between the system's own processes."""
