"""The client of the HTTP endpoints on worker VMs."""
