"""The known nodes and their backend servers."""
