"""One instance in the instance directory."""

import dataclasses

from vanillamast_core.peers.liveness import LivenessState


@dataclasses.dataclass(slots=True)
class InstanceRecord:
    """An instance's newest announcement and its liveness.

    Attributes:
      packed: The encoded announcement.
      incarnation: Newest known incarnation; higher than that of `packed` if
        a claim about a newer one arrived first.
      region: Region of the instance.
      failure_domain: Failure domain of the instance.
      service: Service of its backend server, "" if there is none.
      leaving: Whether the node is stopping as planned.
      liveness: Liveness of this incarnation.
      bucket: Number of the record's digest bucket.
      fingerprint: Contribution to the digests, 0 while dead.
    """

    packed: bytes
    incarnation: int
    region: str
    failure_domain: str
    service: str
    leaving: bool
    liveness: LivenessState
    bucket: int
    fingerprint: int
