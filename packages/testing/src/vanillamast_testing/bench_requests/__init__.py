"""Bench of the request path: one node between a load and backend servers."""
