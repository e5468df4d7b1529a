"""Job admission, queueing, task placement, retries and job completion."""
