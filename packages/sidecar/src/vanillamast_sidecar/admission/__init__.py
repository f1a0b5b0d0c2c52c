"""Second hop: when the local backend server runs a request."""
