"""Refusal of a request for lack of a known API key."""

import dataclasses

from vanillamast_sidecar.organisations.refusal_reason import RefusalReason


@dataclasses.dataclass(slots=True, frozen=True)
class KeyRefusal:
    """A request that no organisation may be charged for.

    Attributes:
      reason: What is wrong with its key.
      key_hash: Keyed hash of an unknown key, "" without one key.
    """

    reason: RefusalReason
    key_hash: str = ""
