"""The client of the endpoints on worker VMs."""
