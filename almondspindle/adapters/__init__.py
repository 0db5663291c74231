"""Sockets and codecs. Adapters depend on the inner data classes, which depend on no adapter."""
