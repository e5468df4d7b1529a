"""An HTTP/1.1 client that sends each request at most once."""
