"""Decisions as pure functions of state and the present time. No sockets, no codecs, no clocks."""
