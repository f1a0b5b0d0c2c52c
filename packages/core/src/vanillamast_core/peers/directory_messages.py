"""Messages about the instance directory and liveness."""

import msgspec

from vanillamast_core.peers.liveness import LivenessState
from vanillamast_core.peers.message import Message, message_kinds


@message_kinds.register("announcements")
class Announcements(Message, array_like=True, frozen=True, tag=10):
    """Packed announcements, pushed on a change or sent in a repair."""

    items: tuple[bytes, ...]


class LivenessClaim(msgspec.Struct, array_like=True, frozen=True):
    """A claim about the liveness of one incarnation of an instance.

    Attributes:
      instance: Name of the instance.
      incarnation: The incarnation that the claim is about.
      state: The claimed liveness.
      suspected_by: Instances whose own observation led to the suspicion.
    """

    instance: str
    incarnation: int
    state: LivenessState
    suspected_by: tuple[str, ...] = ()


@message_kinds.register("liveness")
class Liveness(Message, array_like=True, frozen=True, tag=11):
    """Claims; an instance refutes them by a newer announcement."""

    claims: tuple[LivenessClaim, ...]


@message_kinds.register("digest_request")
class DigestRequest(Message, array_like=True, frozen=True, tag=12):
    """Starts a repair of the instance directory and the alarms.

    Attributes:
      buckets: The sender's bucket digests, 8 bytes each.
      alarms: Digest of the sender's alarms.
    """

    buckets: bytes
    alarms: int


@message_kinds.register("digest_reply")
class DigestReply(Message, array_like=True, frozen=True, tag=13):
    """The sender's records in the buckets that differ.

    Attributes:
      buckets: Numbers of the buckets that `records` holds in full.
      records: (instance, incarnation, liveness) in these buckets.
      alarms: Digest of the sender's alarms.
    """

    buckets: bytes
    records: tuple[tuple[str, int, LivenessState], ...]
    alarms: int


@message_kinds.register("announcements_request")
class AnnouncementsRequest(Message, array_like=True, frozen=True, tag=14):
    """Requests the announcements of instances."""

    instances: tuple[str, ...]
