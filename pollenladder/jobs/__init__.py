"""Jobs that callers submit, and the queues that receive them."""
