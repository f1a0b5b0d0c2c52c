"""Messages about the directory of instances."""

import msgspec

from vanillamast_core.peers.liveness import LivenessState
from vanillamast_core.peers.message import Message, message_kinds


@message_kinds.register("announcements")
class Announcements(Message, array_like=True, frozen=True, tag=10):
    """Packed announcements, pushed on a change or requested in a repair."""

    items: tuple[bytes, ...]


class LivenessClaim(msgspec.Struct, array_like=True, frozen=True):
    """A claim of watchers on one incarnation of an instance.

    Attributes:
      instance: Who it is about.
      incarnation: The incarnation that it is about.
      state: The claimed liveness.
      suspected_by: Watchers that suspect the instance.
    """

    instance: str
    incarnation: int
    state: LivenessState
    suspected_by: tuple[str, ...] = ()


@message_kinds.register("liveness")
class Liveness(Message, array_like=True, frozen=True, tag=11):
    """Claims on liveness; an instance refutes by a new announcement."""

    claims: tuple[LivenessClaim, ...]


@message_kinds.register("digest_request")
class DigestRequest(Message, array_like=True, frozen=True, tag=12):
    """Starts a repair of the directory and of the alarms.

    Attributes:
      buckets: The sender's bucket digests, 8 bytes each.
      alarms: Digest of the sender's alarms.
    """

    buckets: bytes
    alarms: int


@message_kinds.register("digest_reply")
class DigestReply(Message, array_like=True, frozen=True, tag=13):
    """What the sender knows in buckets that differ.

    Attributes:
      buckets: Numbers of the buckets that this reply covers in full.
      records: (instance, incarnation, liveness) in these buckets.
      alarms: Digest of the sender's alarms.
    """

    buckets: bytes
    records: tuple[tuple[str, int, LivenessState], ...]
    alarms: int


@message_kinds.register("announcements_request")
class AnnouncementsRequest(Message, array_like=True, frozen=True, tag=14):
    """Asks for the announcements of instances."""

    instances: tuple[str, ...]
