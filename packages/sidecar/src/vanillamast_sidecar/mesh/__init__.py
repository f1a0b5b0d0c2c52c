"""Connections and messages between the nodes."""
