"""The composition root of `pollenladderd`."""
