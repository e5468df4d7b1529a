"""Changes of the declarations: comparison, commit, audit trail and rollout."""
