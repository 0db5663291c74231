"""The programs: wiring only."""
