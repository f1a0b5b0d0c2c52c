"""Finds the home node of an idempotency key, which grants its claims."""

import hashlib
from collections.abc import Iterable


def find_home_node(service: str, key: str, members: Iterable[str]) -> str:
    """Returns the home node of a key by rendezvous hashing.

    Args:
      service: Service that the request is for.
      key: Idempotency key.
      members: Instances of the service's backend servers.

    Returns:
      The instance with the highest hash, "" if there are no members.
    """
    subject = f"{service}\0{key}\0".encode()
    return max(
        members,
        key=lambda member: (_weight(subject, member), member),
        default="",
    )


def _weight(subject: bytes, member: str) -> bytes:
    data = subject + member.encode()
    return hashlib.blake2b(data, digest_size=8).digest()
