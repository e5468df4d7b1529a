"""Admission, queues, placement, retries and job completion."""
