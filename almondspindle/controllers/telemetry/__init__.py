"""Collect measurements of requests at entries and total them at routers."""
