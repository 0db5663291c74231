"""Admission control: limits on the requests in flight at each owned target."""
