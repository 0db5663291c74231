"""Controllers: tasks that own state and are reached by message only."""
