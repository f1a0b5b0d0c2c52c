"""State of the node's local server."""

import msgspec

from vanillamast_sidecar.membership.heartbeat import Heartbeat
from vanillamast_sidecar.membership.instance_facts import (
    Facts,
    InstanceFacts,
    find_facts,
    merge_facts,
)
from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.operator_state.snapshot import WarmUp

# Missing heartbeats after which the server counts as down; a single one may
# arrive seconds late.
MISSED_HEARTBEATS = 4.0
# Departures that a process remembers: more than a machine has while heartbeats
# are under way.
MAX_LEAVING = 1024
# A rate limit is announced again when it has changed by this share. The other
# nodes keep it for a restart of this one; they need no exact value.
ANNOUNCED_LIMIT_CHANGE = 0.2
# The end of the cold time is announced again when it has moved this far, in
# seconds: heartbeats that are late move it as well.
ANNOUNCED_COLD_CHANGE_S = 1.0


class ServerRegistry:
    """Orders heartbeats, deregistrations and failures of the local server.

    Leaving is final for an incarnation: a late heartbeat cannot undo it.
    Newer incarnations replace older ones, in whatever order they arrive. What
    an earlier process of this node was told binds this one once another node
    or the store tells it.

    Attributes:
      heartbeat_s: Interval of heartbeats.
      current: The newest incarnation, None before the first heartbeat.
      last_heartbeat_at: When its last heartbeat arrived, in loop time.
      cold_until: When it has warmed up, in loop time.
      announced_cold_until: The same as the other nodes were told.
      warm_up: How servers of this service warm up; None without a limit, and
        then a change of the cold time alone is not announced.
      presumed_cold_until: Until when it counts as cold whatever heartbeats
        say that may have been sent before the presumption, in loop time.
      unproven_until: Until when heartbeats may arrive that were, in loop time.
      down: Whether it refused a connection or missed heartbeats since its
        last heartbeat.
      leaving: Incarnations that drain, have deregistered or say in their
        responses that they leave, oldest first.
      leaving_before: Ids that have deregistered without an incarnation, by
        when, in Unix milliseconds; incarnations that started later are not
        affected.
      departed: The newest incarnation that drains, has deregistered or says
        in its responses that it leaves; None without one.
      facts: What is certain of the newest incarnations.
      responded: Newest incarnation that has sent a response to this process.
    """

    def __init__(self, heartbeat_s: float):
        self.heartbeat_s = heartbeat_s
        self.current: InstanceRecord | None = None
        self.last_heartbeat_at = 0.0
        self.cold_until = 0.0
        self.announced_cold_until = 0.0
        self.warm_up: WarmUp | None = None
        self.presumed_cold_until = 0.0
        self.unproven_until = 0.0
        self.down = False
        self.leaving: dict[tuple[str, int], None] = {}
        self.leaving_before: dict[str, int] = {}
        self.departed: InstanceRecord | None = None
        self.facts: Facts = ()
        self.responded: tuple[str, int] | None = None

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Applies a heartbeat; returns whether the server's state changed."""
        noted = False
        if heartbeat.draining:
            noted = self._note_leaving(heartbeat.id, heartbeat.born_ms)
            self._set_departed(self._build_record(heartbeat))
        return self._apply_heartbeat(heartbeat, now) or noted

    def _apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Applies a heartbeat's state; returns whether it changed anything."""
        previous = self.current
        if previous is not None and heartbeat.born_ms < previous.born_ms:
            return False
        is_current = self._is_current(heartbeat.id, heartbeat.born_ms)
        if (
            previous is not None
            and is_current
            and heartbeat.sequence <= previous.sequence
        ):
            return self._update_flags()
        self.last_heartbeat_at = now
        self.down = False
        self.cold_until = now + max(0.0, heartbeat.cold_s)
        if now < self.unproven_until:
            self.cold_until = max(self.cold_until, self.presumed_cold_until)
        self.current = self._build_record(heartbeat)
        changed = previous is None or _announced_fields(
            previous
        ) != _announced_fields(self.current)
        return changed or self._must_announce_cold_time(now)

    def presume_cold(self, now: float) -> bool:
        """Counts the server as cold from now on, as if it had just started.

        Only a heartbeat that was sent later ends this. Heartbeats do not say
        when they were sent, so that one counts as sent later if it arrives
        when the server would count as down without it.

        Returns:
          Whether the other nodes have to be told.
        """
        if self.warm_up is None:
            return False
        self.presumed_cold_until = now + self.warm_up.cold_s
        self.unproven_until = now + MISSED_HEARTBEATS * self.heartbeat_s
        self.cold_until = max(self.cold_until, self.presumed_cold_until)
        return self.current is not None and self._must_announce_cold_time(now)

    def refresh_cold_time(self, now: float) -> None:
        """Updates the record's cold time, which counts from its arrival.

        Called right before the record is announced.
        """
        if self.current is None or self.warm_up is None:
            return
        self.announced_cold_until = self.cold_until
        cold_s = round(max(0.0, self.cold_until - now), 3)
        self.current = msgspec.structs.replace(self.current, cold_s=cold_s)

    def _must_announce_cold_time(self, now: float) -> bool:
        if self.warm_up is None:
            return False
        announced_until = max(now, self.announced_cold_until)
        cold_until = max(now, self.cold_until)
        return abs(cold_until - announced_until) > ANNOUNCED_COLD_CHANGE_S

    def handle_deregistration(
        self, instance_id: str, born_ms: int, wall_ms: int
    ) -> bool:
        """Applies a deregistration; returns whether the state changed.

        Args:
          instance_id: Id of the server.
          born_ms: Its incarnation; 0 if the server did not send it.
          wall_ms: Current time, in Unix milliseconds.
        """
        current = self.current
        if born_ms == 0 and current is not None and current.id == instance_id:
            born_ms = current.born_ms
        if born_ms == 0:
            self.leaving_before[instance_id] = wall_ms
        noted = self._note_leaving(instance_id, born_ms)
        self._set_departed(self._build_departed(instance_id, born_ms))
        return self._update_flags() or noted

    def apply_facts(self, facts: Facts) -> bool:
        """Applies what others know; returns whether the state changed.

        Leaving is taken over, and the rate limit until the server responds
        to this process: heartbeats bring everything else.
        """
        known = self.facts
        self.facts = merge_facts(known, facts)
        self._restore_own_limit(known)
        for found in self.facts:
            if found.leaving and found.key not in self.leaving:
                self._remember_leaving(found.key)
                self._set_departed(self._build_departed(*found.key))
        return self._update_flags() or self.facts != known

    def _restore_own_limit(self, known: Facts) -> None:
        """Keeps the limit that the server named to this process.

        Others only know limits that it named to earlier processes, although
        they may have counted more changes.
        """
        if self.responded is None:
            return
        merged = find_facts(self.facts, self.responded)
        own = find_facts(known, self.responded)
        limit = own.rate_limit if own is not None else None
        if merged is not None and merged.rate_limit != limit:
            self._note_limit(merged, limit)

    def _note_limit(
        self, facts: InstanceFacts, limit: float | None, wall_ms: int = 0
    ) -> None:
        changed = msgspec.structs.replace(
            facts,
            rate_limit=limit,
            limit_revision=max(facts.limit_revision + 1, wall_ms),
        )
        self.facts = merge_facts(self.facts, (changed,))

    def _note_leaving(self, instance_id: str, born_ms: int) -> bool:
        """Notes that an incarnation leaves.

        Returns:
          Whether that is news; not if a newer incarnation is known.
        """
        known = self.facts
        self._remember_leaving((instance_id, born_ms))
        leaving = InstanceFacts(instance_id, born_ms, leaving=True)
        self.facts = merge_facts(known, (leaving,))
        return self.facts != known and not self._is_replaced(born_ms)

    def _remember_leaving(self, key: tuple[str, int]) -> None:
        self.leaving[key] = None
        if len(self.leaving) > MAX_LEAVING:
            del self.leaving[next(iter(self.leaving))]

    def _is_replaced(self, born_ms: int) -> bool:
        """Returns whether a newer incarnation is known."""
        return self.current is not None and born_ms < self.current.born_ms

    def mark_leaving(self, instance_id: str, born_ms: int) -> bool:
        """Applies a response that says that the server leaves.

        Returns:
          Whether the state changed.
        """
        noted = self._note_leaving(instance_id, born_ms)
        self._set_departed(self._build_departed(instance_id, born_ms))
        return self._update_flags() or noted

    def apply_rate_limit(
        self,
        instance_id: str,
        born_ms: int,
        limit: float | None,
        wall_ms: int = 0,
    ) -> bool:
        """Applies the rate limit that the server's response names.

        Args:
          instance_id: Id of the server.
          born_ms: Its incarnation.
          limit: Requests a second; None without a limit.
          wall_ms: Current time, in Unix milliseconds.

        Returns:
          Whether it has changed so much that it is announced.
        """
        key = (instance_id, born_ms)
        self.responded = key
        known = find_facts(self.facts, key) or InstanceFacts(*key)
        if not _differ(limit, known.rate_limit):
            return False
        self._note_limit(known, limit, wall_ms)
        return self._update_flags() or not self._is_replaced(born_ms)

    def mark_unreachable(self) -> bool:
        """Marks a server as down that refused a connection.

        Returns:
          Whether the state changed.
        """
        if self.down or self.current is None:
            return False
        self.down = True
        return self._update_flags()

    def expire(self, now: float) -> bool:
        """Marks a server without heartbeats as down.

        Returns:
          Whether the state changed.
        """
        if self.current is None or self.down:
            return False
        if now - self.last_heartbeat_at < MISSED_HEARTBEATS * self.heartbeat_s:
            return False
        self.down = True
        return self._update_flags()

    def _is_leaving(self, instance_id: str, born_ms: int) -> bool:
        if (instance_id, born_ms) in self.leaving:
            return True
        return born_ms <= self.leaving_before.get(instance_id, -1)

    def _is_current(self, instance_id: str, born_ms: int) -> bool:
        current = self.current
        return current is not None and (current.id, current.born_ms) == (
            instance_id,
            born_ms,
        )

    def _update_flags(self) -> bool:
        """Updates what heartbeats do not bring; returns whether it changed."""
        current = self.current
        if current is None:
            return False
        leaving = self._is_leaving(current.id, current.born_ms)
        ready = not leaving and not self.down
        rate_limit = self._get_rate_limit(current.id, current.born_ms)
        updated = msgspec.structs.replace(
            current, ready=ready, leaving=leaving, rate_limit=rate_limit
        )
        if updated == current:
            return False
        self.current = updated
        return True

    def _get_rate_limit(self, instance_id: str, born_ms: int) -> float | None:
        found = find_facts(self.facts, (instance_id, born_ms))
        return found.rate_limit if found is not None else None

    def _set_departed(self, record: InstanceRecord) -> None:
        """Keeps a departure; one without an incarnation can't be told apart."""
        known = self.departed
        if record.born_ms and (
            known is None or record.born_ms >= known.born_ms
        ):
            self.departed = record

    def _build_departed(self, instance_id: str, born_ms: int) -> InstanceRecord:
        current = self.current
        if current is not None and self._is_current(instance_id, born_ms):
            return msgspec.structs.replace(current, ready=False, leaving=True)
        return InstanceRecord(
            instance_id, born_ms, 0, "", "", 1, False, True, 0.0, ""
        )

    def _build_record(self, heartbeat: Heartbeat) -> InstanceRecord:
        leaving = self._is_leaving(heartbeat.id, heartbeat.born_ms)
        return InstanceRecord(
            heartbeat.id,
            heartbeat.born_ms,
            heartbeat.sequence,
            heartbeat.service,
            heartbeat.version,
            heartbeat.slots,
            not leaving,
            leaving,
            heartbeat.cold_s,
            heartbeat.address,
            self._get_rate_limit(heartbeat.id, heartbeat.born_ms),
        )


def _differ(limit: float | None, known: float | None) -> bool:
    """Returns whether a rate limit differs enough to be announced."""
    if limit is None or known is None:
        return limit != known
    return abs(limit - known) > ANNOUNCED_LIMIT_CHANGE * max(limit, known)


def _announced_fields(record: InstanceRecord) -> tuple[object, ...]:
    """Returns the fields whose change is announced at once."""
    return (
        record.id,
        record.born_ms,
        record.service,
        record.version,
        record.slots,
        record.ready,
        record.leaving,
        record.address,
        record.rate_limit,
    )
