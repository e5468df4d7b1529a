"""The daemon on the users' platform: its components and how they are wired."""
