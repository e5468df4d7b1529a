"""Settings: defaults, the settings file, its validation and its checks."""
