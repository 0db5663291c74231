"""Know which hosts of the system are live."""
