"""Identifies requests that are the same but for their ids."""

import hashlib

from vanillamast_sidecar.http.http_message import Body

# Bodies that are equal up to here and of equal length count as the same.
MAX_HASHED_BYTES = 65_536


def digest_request(method: str, host: bytes, target: str, body: Body) -> int:
    """Returns a hash of 64 bits of what a caller repeats in a retry.

    Args:
      method: HTTP method.
      host: Value of the host field.
      target: Request target.
      body: Body.
    """
    head = f"{method}\n{target}\n{len(body)}\n".encode("latin-1", "replace")
    state = hashlib.blake2b(head, digest_size=8)
    state.update(host)
    state.update(b"\n")
    state.update(memoryview(body)[:MAX_HASHED_BYTES])
    return int.from_bytes(state.digest(), "big")
