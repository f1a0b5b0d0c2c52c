"""Makes API keys distinguishable in logs without showing them."""

import hashlib
import os

SECRET_BYTES = 32
HASH_BYTES = 6  # Enough to tell the keys of a log apart.


class KeyHasher:
    """Hashes API keys with a secret of this process.

    Without the secret, a key that can be guessed could be found by its hash.
    Hashes of different processes and of different runs cannot be compared.
    """

    def __init__(self) -> None:
        self._secret = os.urandom(SECRET_BYTES)

    def hash_key(self, key: bytes) -> str:
        """Returns the keyed hash of an API key."""
        return hashlib.blake2b(
            key, digest_size=HASH_BYTES, key=self._secret
        ).hexdigest()
