"""What hosts tell each other: short reports as datagrams, and whole topics over HTTP."""
