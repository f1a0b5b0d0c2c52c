"""The vanillamast node, one process beside each backend server."""
