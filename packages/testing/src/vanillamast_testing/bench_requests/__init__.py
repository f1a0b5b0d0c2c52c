"""Benchmark of one node between a load generator and backend servers."""
