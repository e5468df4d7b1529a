"""The audit trail of changes to declarations."""
