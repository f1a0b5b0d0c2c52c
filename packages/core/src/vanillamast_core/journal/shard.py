"""Shards of services, each with one driver of its moves."""

import hashlib

SHARDS = 4
LEASE_PREFIX = "driver/"


def shard_of(service: str) -> int:
    """Returns the shard whose driver advances the moves of a service."""
    digest = hashlib.blake2b(service.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % SHARDS


def driver_lease_name(service: str) -> str:
    """Returns the name of the lease that a service's driver must hold."""
    return f"{LEASE_PREFIX}{shard_of(service)}"
