"""The report on service-level burn: gather, merge, show."""
