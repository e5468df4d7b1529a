"""The daemon on the users' platform: its loops, and how its parts are wired."""
