"""Moves of traffic between server versions."""
