"""What is certain of incarnations of a server, whichever process knows it."""

import math
from collections.abc import Iterable

import msgspec

from vanillamast_sidecar.membership.heartbeat import (
    MAX_BORN_MS,
    MAX_SEQUENCE,
)
from vanillamast_sidecar.membership.instance_record import InstanceRecord

# Incarnations of the servers of one machine: more than have heartbeats under
# way that may arrive late.
MAX_FACTS = 4
MAX_ID = 256  # Longest id of a server in facts, in characters.


class InstanceFacts(msgspec.Struct, array_like=True, frozen=True):
    """What one incarnation of a server has said that binds all nodes.

    Heartbeats repeat everything else. Facts of two processes are merged, in
    any order and any number of times, with the same result.

    Attributes:
      id: Id of the server.
      born_ms: Start of the incarnation, in Unix milliseconds.
      leaving: Whether it drains or has deregistered; final.
      rate_limit: Requests a second that it accepts from all nodes together;
        None without a limit.
      limit_revision: When the limit was named, in Unix milliseconds, and above
        that of each limit known before: clocks may be set back. The limit with
        the higher one holds.
    """

    id: str
    born_ms: int
    leaving: bool = False
    rate_limit: float | None = None
    limit_revision: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """Returns id and start of the incarnation."""
        return self.id, self.born_ms

    @property
    def valid(self) -> bool:
        """Returns whether a server may have said this."""
        limit = self.rate_limit
        return (
            len(self.id) <= MAX_ID
            and 0 <= self.born_ms <= MAX_BORN_MS
            and 0 <= self.limit_revision <= MAX_SEQUENCE
            and (limit is None or (math.isfinite(limit) and limit >= 0.0))
        )

    def merge(self, other: "InstanceFacts") -> "InstanceFacts":
        """Returns what either of two processes knows of the incarnation."""
        newest = max(self, other, key=_rank_limit)
        return msgspec.structs.replace(
            newest, leaving=self.leaving or other.leaving
        )


def _rank_limit(facts: InstanceFacts) -> tuple[int, bool, float]:
    """Orders limits; of equally new ones, the lowest holds."""
    limit = facts.rate_limit
    return facts.limit_revision, limit is not None, -(limit or 0.0)


Facts = tuple[InstanceFacts, ...]


def merge_facts(
    first: Iterable[InstanceFacts], second: Iterable[InstanceFacts]
) -> Facts:
    """Merges facts on the servers of one machine.

    Returns:
      The facts on the newest incarnations, newest first.
    """
    merged: dict[tuple[str, int], InstanceFacts] = {}
    for facts in (*first, *second):
        known = merged.get(facts.key)
        merged[facts.key] = facts if known is None else known.merge(facts)
    newest = sorted(merged.values(), key=_get_age, reverse=True)
    return tuple(newest[:MAX_FACTS])


def _get_age(facts: InstanceFacts) -> tuple[int, str]:
    return facts.born_ms, facts.id


def find_facts(facts: Facts, key: tuple[str, int]) -> InstanceFacts | None:
    """Returns the facts on an incarnation, None without any."""
    return next((found for found in facts if found.key == key), None)


def get_stated_facts(instance: InstanceRecord | None) -> Facts:
    """Returns the facts that a server's record states by itself."""
    if instance is None:
        return ()
    if not instance.leaving and instance.rate_limit is None:
        return ()
    return (
        InstanceFacts(
            instance.id, instance.born_ms, instance.leaving, instance.rate_limit
        ),
    )


def apply_facts(instance: InstanceRecord, facts: Facts) -> InstanceRecord:
    """Returns a server's record that agrees with the facts."""
    found = find_facts(facts, (instance.id, instance.born_ms))
    if found is None:
        return instance
    limit = found.rate_limit if found.limit_revision else instance.rate_limit
    return msgspec.structs.replace(
        instance,
        ready=instance.ready and not found.leaving,
        leaving=found.leaving,
        rate_limit=limit,
    )
