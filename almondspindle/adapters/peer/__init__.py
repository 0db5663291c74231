"""The gRPC protocol between the system's own processes."""
