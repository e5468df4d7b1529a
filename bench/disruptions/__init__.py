"""Which disruptions of the users' bench are played on which days.

The users' bench has its own words. This package reads them from its listing and
files: a kind of disruption is their `kind`, and a variant is a word of their `how`.
"""
