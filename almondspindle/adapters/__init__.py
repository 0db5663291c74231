"""Sockets and codecs. Adapters know the inner data classes; those know no adapter."""
