"""Exchange between hosts: short reports as datagrams, and snapshots of topics over HTTP."""
