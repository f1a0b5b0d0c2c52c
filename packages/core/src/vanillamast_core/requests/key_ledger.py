"""Claims of the idempotency keys whose home node is this one."""

import collections
import dataclasses

from vanillamast_core.peers import ClaimKey, KeyAnswer, KeyState, SettleKey
from vanillamast_core.requests.home_node import find_home_node
from vanillamast_core.requests.settings import RequestSettings
from vanillamast_core.requests.uuid7_time import read_uuid7_time

# Most epochs kept. Dropping older ones makes the ledger refuse more keys, never
# grant more.
MAX_EPOCHS = 64
_UNCLEAR = KeyAnswer(KeyState.UNCLEAR)
_GRANTED = KeyAnswer(KeyState.GRANTED)
_RUNNING = KeyAnswer(KeyState.RUNNING)


@dataclasses.dataclass(slots=True)
class KeyEntry:
    """State of one key.

    Attributes:
      claim_id: Id of the claim that holds the key.
      fingerprint: Digest of the request's method and path.
      state: `RUNNING`, `RAN` or `UNCLEAR`.
      status: HTTP status if the request ran.
      expires_at: Monotonic time, in seconds, when the key is removed.
    """

    claim_id: str
    fingerprint: bytes
    state: KeyState
    status: int
    expires_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class MembershipEpoch:
    """A period in which the service's members did not change.

    Attributes:
      members: Instances of the service's backend servers.
      since: Monotonic time, in seconds, when the epoch began.
      hold_until: Monotonic time, in seconds, until which keys are refused
        that may have their home on the other side of a partition.
    """

    members: tuple[str, ...]
    since: float
    hold_until: float


class KeyLedger:
    """Grants each key of one service at most once within the retention.

    Attributes:
      settings: Settings of the request path.
      service: Service of this instance's backend server.
      instance: Name of this instance.
      epochs: Epochs of the membership, oldest first.
      entries: State by key, ordered by expiry.
    """

    def __init__(self, settings: RequestSettings, service: str, instance: str):
        self.settings = settings
        self.service = service
        self.instance = instance
        self.epochs: collections.deque[MembershipEpoch] = collections.deque(
            maxlen=MAX_EPOCHS
        )
        self.entries: collections.OrderedDict[str, KeyEntry] = (
            collections.OrderedDict()
        )

    def set_members(
        self, members: list[str], member_lost: bool, now: float
    ) -> None:
        """Replaces the instances of the service's backend servers.

        Args:
          members: Instances, including this one unless it is stopping.
          member_lost: Whether an instance of the service disappeared without
            a planned stop since the last call; at the first call, whether one
            is known to have done so within `key_hold_s` and `key_margin_s`.
            It may be alive on the other side of a partition.
          now: Monotonic time in seconds.
        """
        current = tuple(sorted(members))
        if self.epochs and current == self.epochs[-1].members:
            return
        settings = self.settings
        # A further change does not end the hold.
        hold_until = self.epochs[-1].hold_until if self.epochs else 0.0
        if member_lost:
            # When a partition ends, other nodes may still use the previous
            # members for the margin.
            hold_until = now + settings.key_hold_s + settings.key_margin_s
        self.epochs.append(MembershipEpoch(current, now, hold_until))
        horizon = now - settings.key_retention_s - settings.key_margin_s
        while len(self.epochs) > 1 and self.epochs[1].since <= horizon:
            self.epochs.popleft()

    def claim(self, claim: ClaimKey, now: float, wall: float) -> KeyAnswer:
        """Answers a claim.

        Args:
          claim: The claim; a repeated one with the same id is granted again.
          now: Monotonic time in seconds.
          wall: Wall time in seconds since the epoch.
        """
        self._remove_expired(now)
        entry = self.entries.get(claim.key)
        if entry is not None:
            return self._answer_known_key(entry, claim)
        if not self._is_sole_home(claim, now, wall):
            return _UNCLEAR
        if len(self.entries) >= self.settings.key_capacity:
            # If a retained key were dropped, its request could run again.
            return _UNCLEAR
        self.entries[claim.key] = KeyEntry(
            claim.claim_id,
            claim.fingerprint,
            KeyState.RUNNING,
            0,
            now + self.settings.key_retention_s,
        )
        return _GRANTED

    def _answer_known_key(self, entry: KeyEntry, claim: ClaimKey) -> KeyAnswer:
        if entry.fingerprint != claim.fingerprint:
            # The key belongs to another request, whose outcome must not be
            # disclosed to the claimant.
            return _UNCLEAR
        if entry.state is KeyState.RUNNING:
            return _GRANTED if entry.claim_id == claim.claim_id else _RUNNING
        return KeyAnswer(entry.state, entry.status)

    def settle(self, settle: SettleKey, now: float) -> None:
        """Applies the outcome of a granted claim; ignores other claims."""
        entry = self.entries.get(settle.key)
        if entry is None or entry.claim_id != settle.claim_id:
            return
        if entry.state is not KeyState.RUNNING:
            return
        if settle.status == 0:
            del self.entries[settle.key]
            return
        ran = settle.status > 0
        entry.state = KeyState.RAN if ran else KeyState.UNCLEAR
        entry.status = settle.status if ran else 0
        entry.expires_at = now + self.settings.key_retention_s
        self.entries.move_to_end(settle.key)

    def _remove_expired(self, now: float) -> None:
        while self.entries:
            key = next(iter(self.entries))
            if self.entries[key].expires_at > now:
                return
            del self.entries[key]

    def _is_sole_home(self, claim: ClaimKey, now: float, wall: float) -> bool:
        """Returns whether no other node can have granted the key."""
        if claim.service != self.service:
            return False
        sole_since = self._sole_home_since(claim.key)
        if sole_since is None or sole_since > now:
            return False
        # Before `sole_since`, another home node may have granted the key. Such
        # a grant has expired after the retention.
        if now - sole_since >= self.settings.key_retention_s:
            return True
        created_at = read_uuid7_time(claim.key)
        if created_at is None:
            return False
        sole_since_wall = wall - (now - sole_since)
        return sole_since_wall < created_at <= wall + self.settings.key_margin_s

    def _sole_home_since(self, key: str) -> float | None:
        """Returns when this node became the only possible home of a key.

        Returns:
          Monotonic time in seconds, None if it is not the key's home.
        """
        margin = self.settings.key_margin_s
        home_epochs: list[MembershipEpoch] = []
        for epoch in reversed(self.epochs):
            if (
                find_home_node(self.service, key, epoch.members)
                != self.instance
            ):
                break
            home_epochs.append(epoch)
        if not home_epochs:
            return None
        since = home_epochs[-1].since
        sole_since = since + margin
        for epoch in home_epochs:
            # If an instance was lost before the margin had passed, the other
            # side of a partition may not know this home node and use another
            # one until the hold ends.
            if epoch.since - since < margin:
                sole_since = max(sole_since, epoch.hold_until)
        return sole_since
