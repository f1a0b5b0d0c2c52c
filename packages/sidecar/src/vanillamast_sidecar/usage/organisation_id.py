"""Identifies organisations in messages between nodes."""

import functools
import hashlib


@functools.lru_cache(maxsize=16_384)
def compute_organisation_id(name: str) -> int:
    """Returns a hash of 64 bits of an organisation's name.

    Nodes may have different versions of the configuration, so an index into it
    would not name the same organisation everywhere.
    """
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
