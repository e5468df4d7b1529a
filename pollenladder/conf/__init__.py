"""Settings: defaults, loading, validation and startup checks."""
