"""Jobs as callers submit them, and the queues that take them."""
