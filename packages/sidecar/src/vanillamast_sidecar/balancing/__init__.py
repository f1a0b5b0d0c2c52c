"""Even load on backend servers although load information is stale."""
