"""The filter chains that a request walks, at the entry and at the owner."""
