"""Routing, limits, retries and refusals of requests."""
