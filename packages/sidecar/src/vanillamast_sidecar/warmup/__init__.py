"""Rate of requests to servers that are cold after a start."""
