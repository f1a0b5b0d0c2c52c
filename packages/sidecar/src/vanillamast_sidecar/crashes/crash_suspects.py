"""Decides which requests are kept from servers because these end under them."""

import dataclasses
import enum
import random

from vanillamast_sidecar.crashes.crash_settings import CrashSettings
from vanillamast_sidecar.crashes.server_end import ServerEnd

# Retry-After of a request that waits for more servers to be ready.
SPARE_RETRY_AFTER_S = 1.0
# Time after which a request whose hold has ended may be tried once more, if
# the first trial has had no result.
TRIAL_S = 5.0
# Holds end at different times on different nodes, so that one of them tries
# the request first.
HOLD_JITTER = 0.5

Key = tuple[str, str, int]


class Admission(enum.Enum):
    """Whether a request may be sent to a server.

    Attributes:
      ALLOWED: It may.
      ALONE: It may, but not beside another one of which that is said.
      HELD: It may not.
    """

    ALLOWED = enum.auto()
    ALONE = enum.auto()
    HELD = enum.auto()


@dataclasses.dataclass(slots=True)
class Suspect:
    """A request under which servers have ended.

    Attributes:
      ends: How many.
      last_end_at: When the last one ended, in seconds.
      held_until: When it may be tried again, in seconds.
    """

    ends: int = 0
    last_end_at: float = 0.0
    held_until: float = 0.0


class CrashSuspects:
    """Counts servers that ended under a request, by service and version.

    A request that ran beside the one at fault is suspected as well, until a
    server answers it. Requests with many ends never run beside each other, so
    that the next end shows which of them is at fault.

    Attributes:
      settings: Limits and times.
      rng: Random source.
      suspects: Requests under which servers ended, the oldest first.
      answered: Requests that servers answered, the least recent first.
      ends: Incarnations whose end was counted, with its time.
    """

    def __init__(self, settings: CrashSettings, rng: random.Random):
        self.settings = settings
        self.rng = rng
        self.suspects: dict[Key, Suspect] = {}
        self.answered: dict[Key, None] = {}
        self.ends: dict[tuple[str, int], float] = {}

    def select(
        self, service: str, version: str, digests: list[int]
    ) -> list[int]:
        """Returns the requests that may have ended a server."""
        return [
            digest
            for digest in dict.fromkeys(digests)
            if (service, version, digest) not in self.answered
        ]

    def record_end(self, end: ServerEnd, now: float) -> bool:
        """Counts the end of a server; returns whether it was not known.

        Args:
          end: The end.
          now: Current time, in seconds.
        """
        self._forget(now)
        incarnation = (end.instance_id, end.born_ms)
        if incarnation in self.ends:
            return False
        self.ends[incarnation] = now
        _drop_oldest(self.ends, self.settings.max_suspects)
        for digest in end.digests:
            key = (end.service, end.version, digest)
            suspect = self.suspects.pop(key, None) or Suspect()
            suspect.ends += 1
            suspect.last_end_at = now
            suspect.held_until = now + self._get_hold_s(suspect.ends)
            self.suspects[key] = suspect
        _drop_oldest(self.suspects, self.settings.max_suspects)
        return True

    def record_answer(self, service: str, version: str, digest: int) -> None:
        """Clears a request that a server has answered."""
        key = (service, version, digest)
        self.suspects.pop(key, None)
        self.answered.pop(key, None)
        self.answered[key] = None
        _drop_oldest(self.answered, self.settings.max_answered)

    def judge(
        self,
        service: str,
        version: str,
        digest: int,
        ready_servers: int,
        now: float,
    ) -> tuple[Admission, float]:
        """Returns whether a request may be sent, and Retry-After if not.

        Args:
          service: Service of the server.
          version: Version of the server.
          digest: Digest of the request.
          ready_servers: Servers of the service that are ready.
          now: Current time, in seconds.
        """
        suspect = self.suspects.get((service, version, digest))
        settings = self.settings
        if suspect is None or suspect.ends < settings.max_ends - 1:
            return Admission.ALLOWED, 0.0
        if now - suspect.last_end_at > settings.memory_s:
            return Admission.ALLOWED, 0.0
        left_s = suspect.held_until - now
        if suspect.ends >= settings.max_ends and left_s > 0.0:
            return Admission.HELD, left_s
        if left_s > 0.0 and ready_servers <= settings.spare_servers:
            return Admission.HELD, min(left_s, SPARE_RETRY_AFTER_S)
        return Admission.ALONE, 0.0

    def start_trial(
        self, service: str, version: str, digest: int, now: float
    ) -> None:
        """Notes that a request whose hold has ended is tried."""
        suspect = self.suspects.get((service, version, digest))
        if suspect is not None and suspect.ends >= self.settings.max_ends:
            suspect.held_until = max(suspect.held_until, now + TRIAL_S)

    def count_held(self, now: float) -> int:
        """Returns how many requests are held."""
        return sum(
            suspect.ends >= self.settings.max_ends and suspect.held_until > now
            for suspect in self.suspects.values()
        )

    def _get_hold_s(self, ends: int) -> float:
        settings = self.settings
        doublings = min(16, max(0, ends - settings.max_ends))
        hold_s = min(settings.max_hold_s, settings.hold_s * 2.0**doublings)
        return hold_s * (1.0 + HOLD_JITTER * self.rng.random())

    def _forget(self, now: float) -> None:
        """Forgets what happened too long ago; both maps are in order."""
        limit = now - self.settings.memory_s
        for key, suspect in list(self.suspects.items()):
            if suspect.last_end_at >= limit:
                break
            del self.suspects[key]
        for incarnation, at in list(self.ends.items()):
            if at >= limit:
                break
            del self.ends[incarnation]


def _drop_oldest(entries: dict, limit: int) -> None:
    while len(entries) > limit:
        del entries[next(iter(entries))]
