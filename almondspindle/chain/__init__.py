"""The filter chains that process requests at the entry and at the owner."""
