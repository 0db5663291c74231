"""The report on error budgets: query the hosts, merge their tallies, compute burn rates."""
