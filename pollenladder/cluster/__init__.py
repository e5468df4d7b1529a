"""Which daemons there are, which one owns the workers, and their links."""
