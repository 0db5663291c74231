"""Know the targets, their owners and their order for a chat."""
