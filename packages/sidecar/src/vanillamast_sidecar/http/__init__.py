"""HTTP/1.1 towards callers and the local backend server."""
