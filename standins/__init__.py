"""Stand-ins for the platform and for endpoints, for tests and benches."""
