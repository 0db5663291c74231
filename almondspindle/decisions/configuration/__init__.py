"""Pure functions on the configuration: changes, deltas, references and dissemination."""
