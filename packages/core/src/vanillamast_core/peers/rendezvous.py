"""Rendezvous hashing, for choices without coordination."""

import hashlib

SEPARATOR = "\0"  # Cannot occur in names, so ("a", "bc") != ("ab", "c").


def rendezvous_score(*parts: str) -> int:
    """Returns a 64-bit hash of the parts; the highest score is chosen."""
    data = SEPARATOR.join(parts).encode()
    digest = hashlib.blake2b(data, digest_size=8).digest()
    return int.from_bytes(digest, "big")
