"""Controllers: tasks that own state and communicate only by messages."""
