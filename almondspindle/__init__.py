"""Request router that sends chats, reads and commits to the targets that serve them."""

__version__ = "0.1.0"
