"""Messages about idempotency keys."""

import enum

from vanillamast_core.peers.message import Message, message_kinds


class KeyState(enum.IntEnum):
    """What the home node of a key knows about it."""

    GRANTED = 0  # The claimant may run the request.
    RUNNING = 1  # Another claim of this key is unsettled.
    RAN = 2  # The request ran and has a status.
    UNCLEAR = 3  # Unknown whether the request ran.


@message_kinds.register("claim_key")
class ClaimKey(Message, array_like=True, frozen=True, tag=30):
    """Asks the home node for permission to run a request."""

    service: str
    key: str
    claim_id: str  # Unique for each claim.
    fingerprint: bytes = b""  # Digest of method and path.


@message_kinds.register("key_answer")
class KeyAnswer(Message, array_like=True, frozen=True, tag=31):
    """Answers a claim; `status` is the HTTP status if the request ran."""

    state: KeyState
    status: int = 0


@message_kinds.register("settle_key")
class SettleKey(Message, array_like=True, frozen=True, tag=32):
    """Reports the outcome of a claimed request to the home node.

    Attributes:
      status: HTTP status of the answer, 0 if the request did not run, -1 if
        the outcome is unclear.
    """

    service: str
    key: str
    claim_id: str
    status: int
