"""The client of the users' platform: table, object store and VM list."""
