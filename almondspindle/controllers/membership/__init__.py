"""Gossip-based membership: which hosts exist and which of them are live."""
