"""The operator's configuration and orders, from the store or a peer."""
