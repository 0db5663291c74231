"""Which target each request goes to, and what attempts tell of the targets."""
