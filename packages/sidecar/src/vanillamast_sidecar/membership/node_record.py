"""A node and its backend server, as the node announces them."""

import msgspec

from vanillamast_sidecar.membership.instance_facts import (
    Facts,
    apply_facts,
    get_stated_facts,
    merge_facts,
)
from vanillamast_sidecar.membership.instance_record import InstanceRecord


class NodeRecord(msgspec.Struct, array_like=True, frozen=True):
    """State of a node that it announces to the others.

    Attributes:
      address: host:port of the node's peer listener; identifies the node.
      failure_domain: Failure domain of the node.
      incarnation: Start of the process in Unix milliseconds; higher ones
        replace lower ones.
      revision: Counter of changes within the incarnation.
      stopping: Whether the node shuts down; others take over its duties.
      instance: The node's backend server, None while none is known.
      serves_while_stopping: Whether a stopping node still accepts requests
        from other nodes.
      facts: What is certain of the newest incarnations of its server.
    """

    address: str
    failure_domain: str
    incarnation: int
    revision: int
    stopping: bool
    instance: InstanceRecord | None
    serves_while_stopping: bool = False
    facts: Facts = ()

    @property
    def accepts_calls(self) -> bool:
        """Returns whether the node accepts requests from other nodes."""
        return not self.stopping or self.serves_while_stopping

    def get_facts(self) -> Facts:
        """Returns all valid facts that the record states."""
        stated = (*self.facts, *get_stated_facts(self.instance))
        # An invalid one must not displace another or be merged with it.
        return merge_facts((facts for facts in stated if facts.valid), ())

    def with_facts(self, facts: Facts) -> "NodeRecord":
        """Returns the record with facts that its server agrees with."""
        instance = self.instance
        if instance is not None:
            instance = apply_facts(instance, facts)
        return msgspec.structs.replace(self, instance=instance, facts=facts)

    def is_newer_than(self, other: "NodeRecord") -> bool:
        """Returns whether this record replaces another of the same node."""
        return (self.incarnation, self.revision) > (
            other.incarnation,
            other.revision,
        )
