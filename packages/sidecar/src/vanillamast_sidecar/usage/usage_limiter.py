"""Admits the requests of organisations within their usage caps."""

import math

from vanillamast_sidecar.organisations.organisation import Organisation
from vanillamast_sidecar.settings import Bounds
from vanillamast_sidecar.usage.change_tracker import ChangeTracker
from vanillamast_sidecar.usage.node_account import NodeAccount
from vanillamast_sidecar.usage.organisation_id import compute_organisation_id
from vanillamast_sidecar.usage.token_bucket import TokenBucket
from vanillamast_sidecar.usage.usage_counts import UsageCounts
from vanillamast_sidecar.usage.usage_shares import SHARE_UNITS, UsageShares

# Shares older than this do not count: the node may be cut off. Five reports of
# each of two hubs are then missing.
SHARES_LIFETIME_S = 1.0
# Part of a cap that a node uses that has heard no hub since its start. All
# nodes of a fleet may have started at once, so it is at most one node's part.
START_PART = 0.01
# A node that is cut off may use this multiple of its last part, as the rate of
# few requests varies; within the share by which a cap may be exceeded.
CUT_OFF_FACTOR = 1.1
# Part of the slack of the guarantee that is added to a burst. Without it, the
# variation of a small organisation's calm traffic is refused.
BURST_SLACK_SHARE = 0.25
# Part of the share by which a cap may be exceeded that is added to its rate. It
# makes up for what is refused too much while a demand falls.
RATE_OVER_SHARE = 0.2
# Retry-After. Room is never known to come sooner than the next report of a
# hub; beyond the upper limit the demand is likely to have changed.
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 5.0


class UsageLimiter:
    """First hop: admits a share of an organisation's requests.

    The hubs report the shares of organisations that ask for more than their
    cap. The bucket of the node is a second bound, which is exact if all callers
    of an organisation use this node.

    Attributes:
      address: Address of the node.
      bounds: Guarantees of the deployment.
      nodes: Number of nodes of the fleet, as far as this one knows.
      accounts: Usage by the name of the organisation; never removed, as the
        counts are cumulative.
      shares: Shares of organisations that are limited, by id.
      heard_at: When the shares arrived, in seconds.
      connected_at: Since when hubs that can judge are heard without a gap, or
        were until the last one, in seconds; None before the first.
      changes: Counts that the hubs have not been sent.
    """

    def __init__(self, address: str, bounds: Bounds):
        self.address = address
        self.bounds = bounds
        self.nodes = 1
        self.accounts: dict[str, NodeAccount] = {}
        self.shares: dict[int, float] = {}
        self.heard_at = -math.inf
        self.connected_at: float | None = None
        self.changes = ChangeTracker()

    def admit(self, organisation: Organisation, now: float) -> float | None:
        """Counts a request and decides on it.

        Args:
          organisation: Organisation that sent it.
          now: Current time, in seconds.

        Returns:
          None if the request is admitted, else Retry-After in seconds.
        """
        if not organisation.has_usage_cap:
            return None
        account = self._get_account(organisation, now)
        account.asked += 1
        account.demand.add(1.0, now)
        self.changes.mark(account.id)
        self._apply_limits(account, now)
        share = 1.0
        if self.is_connected(now):
            share = self.shares.get(account.id, 1.0)
        account.credit += share
        if account.credit < 1.0:
            return self._get_retry_after_s(account, share, now)
        account.credit -= 1.0
        if not account.bucket.try_take(now):
            return self._get_retry_after_s(account, share, now)
        account.admitted += 1
        if self.is_connected(now):
            account.usage.add(1.0, now)
        return None

    def give_back(self, organisation: Organisation) -> None:
        """Takes back an admission whose request ended without having run."""
        account = self.accounts.get(organisation.name)
        if account is not None and organisation.has_usage_cap:
            account.admitted -= 1
            account.bucket.give_back()
            self.changes.mark(account.id)

    def apply_shares(self, shares: UsageShares, now: float) -> None:
        """Replaces the shares by those of the newest report of a hub.

        A hub that has just started cannot judge; its report counts as none.
        """
        if not shares.settled:
            return
        self.shares = {
            number: units / SHARE_UNITS for number, units in shares.shares
        }
        if not self.is_connected(now):
            self.connected_at = now
        self.heard_at = now

    def is_connected(self, now: float) -> bool:
        """Returns whether the node has recent shares."""
        return now - self.heard_at <= SHARES_LIFETIME_S

    def make_counts(
        self, address: str, connection: object
    ) -> UsageCounts | None:
        """Returns the counts for the next heartbeat to a hub.

        Args:
          address: Address of the hub.
          connection: Connection on which the heartbeat is sent.
        """
        if not self.accounts:
            return None
        changed = self.changes.take(address, connection)
        if changed is not None and not changed:
            return None
        return UsageCounts(
            changed is None,
            [
                (account.id, account.asked, account.admitted)
                for account in self.accounts.values()
                if changed is None or account.id in changed
            ],
        )

    def _get_account(
        self, organisation: Organisation, now: float
    ) -> NodeAccount:
        account = self.accounts.get(organisation.name)
        if account is not None:
            account.organisation = organisation
            return account
        number = compute_organisation_id(organisation.name)
        # Nodes start with different credits, else all of them would refuse
        # the first requests of an organisation that is spread over them.
        phase = compute_organisation_id(f"{self.address}/{organisation.name}")
        spare = self._get_spare()
        level = 0.0
        if self.connected_at is not None:
            earned = (now - self.connected_at) * organisation.rate_per_s
            level = spare + min(organisation.burst, earned)
        account = NodeAccount(
            number,
            organisation,
            TokenBucket(
                organisation.rate_per_s,
                organisation.burst + spare,
                level,
                now,
            ),
            phase / 2.0**64,
        )
        self.accounts[organisation.name] = account
        return account

    def _get_spare(self) -> float:
        return self.bounds.quota_slack * BURST_SLACK_SHARE

    def _apply_limits(self, account: NodeAccount, now: float) -> None:
        """Sets the limits of the node's bucket."""
        organisation = account.organisation
        over = self.bounds.quota_over * RATE_OVER_SHARE
        rate_per_s = organisation.rate_per_s * (1.0 + over)
        burst = organisation.burst + self._get_spare()
        if not self.is_connected(now):
            part = min(START_PART, 1.0 / max(1, self.nodes))
            if self.connected_at is not None:
                last_per_s = account.usage.value(self.heard_at)
                part = max(part, CUT_OFF_FACTOR * last_per_s / rate_per_s)
            part = min(1.0, part)
            rate_per_s *= part
            burst = max(1.0, burst * part)
        bucket = account.bucket
        asked_at = bucket.updated_at
        if (bucket.rate_per_s, bucket.burst) != (rate_per_s, burst):
            was_part = bucket.rate_per_s < rate_per_s
            bucket.set_limits(rate_per_s, burst, now)
            if was_part and self.connected_at is not None:
                # The organisation may have asked for nothing since then.
                full_s = min(now - self.connected_at, now - asked_at)
                bucket.level = min(burst, bucket.level + rate_per_s * full_s)

    def _get_retry_after_s(
        self, account: NodeAccount, share: float, now: float
    ) -> float:
        """Returns when there is room for a refused request, in order.

        Refused requests are told to return at the rate at which this node
        admits requests, so that they do not return together.
        """
        rate_per_s = min(
            account.bucket.rate_per_s, share * account.demand.value(now)
        )
        room_at = max(now, account.room_at)
        room_at += 1.0 / max(rate_per_s, 1.0 / MAX_RETRY_AFTER_S)
        account.room_at = min(room_at, now + MAX_RETRY_AFTER_S)
        return max(MIN_RETRY_AFTER_S, account.room_at - now)
