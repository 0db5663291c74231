"""Select a target for each request, and track the state of the targets."""
