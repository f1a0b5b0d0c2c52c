"""Organisations whose callers send requests, and their API keys."""
