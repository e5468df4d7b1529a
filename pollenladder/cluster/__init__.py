"""Membership and ownership: known daemons, links, and the workers' owner."""
