"""Changes of the declarations: their difference, commit, record and spread."""
