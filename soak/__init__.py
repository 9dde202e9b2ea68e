"""A randomized soak of daemons as processes, with faults from outside."""
