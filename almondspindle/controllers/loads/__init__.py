"""Poll the load of the owned targets that report it."""
