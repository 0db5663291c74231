"""Stand-ins for the platform, its replicas and its consumers, and a runner of nodes."""
