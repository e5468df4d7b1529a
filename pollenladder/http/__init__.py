"""HTTP exchanges that never send a request twice."""
