"""Decides which share of an organisation's requests the fleet admits."""

import math
from collections.abc import Iterable

from vanillamast_sidecar.organisations.organisation import Organisation
from vanillamast_sidecar.settings import Bounds
from vanillamast_sidecar.usage.change_tracker import ChangeTracker
from vanillamast_sidecar.usage.domain_counter import DomainCounter
from vanillamast_sidecar.usage.domain_demand import DomainDemand
from vanillamast_sidecar.usage.increments import Increments
from vanillamast_sidecar.usage.ledger_account import LedgerAccount
from vanillamast_sidecar.usage.organisation_id import compute_organisation_id
from vanillamast_sidecar.usage.remote_usage import (
    ACTIVE_S,
    QUIET_S,
    SOURCE_LIFETIME_S,
    RemoteUsage,
)
from vanillamast_sidecar.usage.usage_counts import UsageCounts
from vanillamast_sidecar.usage.usage_limiter import (
    BURST_SLACK_SHARE,
    RATE_OVER_SHARE,
)
from vanillamast_sidecar.usage.usage_shares import SHARE_UNITS, UsageShares

# Time in which a level other than zero is corrected. Shares take effect after
# 0.4 s or so; much shorter, and the correction oscillates.
CORRECTION_S = 1.0
# Requests are not limited while the bucket holds more than this part of its
# bound. Below it, the variation of a small organisation's calm demand was taken
# for an excess.
FREE_LEVEL = 0.5
# A hub judges after it has heard its nodes for this time.
SETTLING_S = 1.0
# A hub without duty for this long starts again.
MAX_PAUSE_S = 2.0
# Debts beyond this many seconds of the cap are forgotten: what caused them has
# left the window of the guarantee when they are repaid.
MAX_DEBT_S = 2.5
# Interval at which the weights of the failure domains are noted. The older of
# two notes is used, so that it was taken before a partition that is noticed
# after `QUIET_S`.
WEIGHTS_INTERVAL_S = 0.8
# Part of a cap that all failure domains together count as demand in addition
# to what was asked for, so that one without demand keeps a part.
WEIGHT_FLOOR = 0.05
# Counts of a node that are kept before the first configuration, and failure
# domains whose usage is kept: more than any fleet has.
MAX_UNCONFIGURED = 1024
MAX_DOMAINS = 64
# Demand, as a share of the cap, below which an organisation is at rest.
REST_SHARE = 0.001


class UsageLedger:
    """Fleet-wide usage of the organisations with a cap, on a hub.

    Attributes:
      domain: Failure domain of the hub.
      bounds: Guarantees of the deployment.
      organisations: Organisations with a cap, by id.
      configured: Whether a configuration has named them.
      counter: Sums of the own failure domain.
      remotes: Usage of the other failure domains.
      accounts: Buckets and demand, by organisation id.
      active: Ids of the accounts that are not at rest.
      unheard: Failure domains that are not heard.
      unheard_since: Since when any is not heard, in seconds.
      domains: All failure domains, the own one first.
      changes: Sums that other hubs have not been sent.
      changed_at: When a sum last changed, in seconds.
      started_at: When the hub started, in seconds.
      updated_at: When the accounts were updated, in seconds.
      weights_at: When the weights were noted, in seconds.
    """

    def __init__(self, domain: str, bounds: Bounds):
        self.domain = domain
        self.bounds = bounds
        self.organisations: dict[int, Organisation] = {}
        self.configured = False
        self.counter = DomainCounter()
        self.remotes: dict[str, RemoteUsage] = {}
        self.accounts: dict[int, LedgerAccount] = {}
        self.active: set[int] = set()
        self.unheard: frozenset[str] = frozenset()
        self.unheard_since = -math.inf
        self.domains: tuple[str, ...] = (domain,)
        self.changes = ChangeTracker()
        self.changed_at = -math.inf
        self.started_at = -math.inf
        self.updated_at = -math.inf
        self.weights_at = -math.inf

    def apply_organisations(
        self, organisations: Iterable[Organisation]
    ) -> None:
        """Applies the caps of a configuration.

        A level above the bound of a lowered cap is cut to it.
        """
        self.configured = True
        self.organisations = {
            compute_organisation_id(organisation.name): organisation
            for organisation in organisations
            if organisation.has_usage_cap
        }
        for number in self.accounts.keys() - self.organisations.keys():
            del self.accounts[number]
            self.active.discard(number)
        for number, account in self.accounts.items():
            organisation = self.organisations[number]
            account.rate_per_s = self._get_rate_per_s(organisation)
            account.burst = self._get_burst(organisation)
            account.level = min(account.level, account.burst * account.part)
            self.active.add(number)

    # Usage.

    def handle_counts(
        self,
        address: str,
        incarnation: int,
        counts: UsageCounts | None,
        is_new: bool,
        now: float,
    ) -> None:
        """Applies the counts of a heartbeat of this failure domain.

        Args:
          address: Address of the node.
          incarnation: Incarnation of the node.
          counts: Its counts, None without any.
          is_new: Whether this is the first heartbeat on a connection.
          now: Current time, in seconds.
        """
        self._start_if_paused(now)
        if counts is not None:
            counts = self._select_known(counts)
        self.counter.handle_counts(address, incarnation, counts, is_new, now)

    def _select_known(self, counts: UsageCounts) -> UsageCounts:
        """Returns the counts of organisations that may exist.

        Before the first configuration, any may, up to a number.
        """
        if self.configured:
            known = self.organisations
            entries = [entry for entry in counts.entries if entry[0] in known]
        else:
            entries = counts.entries[:MAX_UNCONFIGURED]
        return UsageCounts(counts.complete, entries)

    def handle_domain_usage(
        self,
        domain: str,
        address: str,
        incarnation: int,
        usage: UsageCounts,
        now: float,
    ) -> None:
        """Applies the sums of another failure domain.

        Args:
          domain: The failure domain.
          address: Address of its hub that sent them.
          incarnation: Incarnation of that hub's node.
          usage: The sums.
          now: Current time, in seconds.
        """
        remote = self.remotes.get(domain)
        if remote is None:
            if len(self.remotes) >= MAX_DOMAINS:
                return
            remote = self.remotes[domain] = RemoteUsage(now)
        remote.handle_usage(
            address, incarnation, self._select_known(usage), now
        )

    def update(
        self,
        domains: Iterable[str],
        lost_domains: Iterable[str],
        silent: set[str],
        now: float,
    ) -> None:
        """Brings all accounts up to date.

        Args:
          domains: The other failure domains.
          lost_domains: Those that the hub cannot reach.
          silent: Nodes of this failure domain that no hub hears.
          now: Current time, in seconds.
        """
        self._start_if_paused(now)
        elapsed_s = now - self.updated_at
        if elapsed_s <= 0.0:
            return
        self.updated_at = now
        self.domains = (self.domain, *domains)
        self.counter.estimate_silent(silent, now)
        was_unheard = self.unheard
        unheard = frozenset(lost_domains) | {
            domain
            for domain, remote in self.remotes.items()
            if domain in self.domains and remote.is_quiet(now)
        }
        if unheard != was_unheard:
            self._apply_unheard(unheard, now)
        own = Increments(elapsed_s, self.counter.take_increments())
        increments = {self.domain: own}
        for number in own.counts:
            self.changes.mark(number)
            self.changed_at = now
        for domain, remote in self.remotes.items():
            if domain in unheard:
                continue
            new = remote.take_increments(now)
            # What a domain used in a long partition was its own part.
            if new is not None and new.elapsed_s <= SOURCE_LIFETIME_S:
                increments[domain] = new
        for new in increments.values():
            for number in new.counts:
                self._activate(number, now - elapsed_s)
        for number in list(self.active):
            self._update_account(number, increments, elapsed_s)
        self._note_weights(now)

    def _start_if_paused(self, now: float) -> None:
        """Starts without tokens if this node was no hub until now."""
        if now - self.updated_at <= MAX_PAUSE_S:
            return
        self.started_at = now
        self.updated_at = now
        self.counter.reset()
        self.accounts.clear()
        self.active.clear()
        for remote in self.remotes.values():
            remote.take_increments(now)

    def _activate(self, number: int, since: float) -> None:
        """Makes an organisation active, which was at rest until a time."""
        organisation = self.organisations.get(number)
        if organisation is None:
            return
        self.active.add(number)
        if number not in self.accounts:
            burst = self._get_burst(organisation)
            rate_per_s = self._get_rate_per_s(organisation)
            earned = (since - self.started_at) * rate_per_s
            account = LedgerAccount(rate_per_s, burst, min(burst, earned))
            account.part = self._get_part(account)
            account.level *= account.part
            self.accounts[number] = account

    def _get_rate_per_s(self, organisation: Organisation) -> float:
        over = self.bounds.quota_over * RATE_OVER_SHARE
        return organisation.rate_per_s * (1.0 + over)

    def _get_burst(self, organisation: Organisation) -> float:
        return organisation.burst + self.bounds.quota_slack * BURST_SLACK_SHARE

    def _update_account(
        self,
        number: int,
        increments: dict[str, Increments],
        elapsed_s: float,
    ) -> None:
        account = self.accounts[number]
        admitted = 0.0
        for domain, new in increments.items():
            asked, used = new.counts.get(number, (0.0, 0.0))
            admitted += used
            demand = account.demands.get(domain)
            if demand is None:
                if not asked:
                    continue
                demand = account.demands[domain] = DomainDemand()
            demand.add(asked, new.elapsed_s)
        rate_per_s = account.rate_per_s * account.part
        bound = account.burst * account.part
        account.joint_level += account.rate_per_s * elapsed_s - admitted
        level = account.level + rate_per_s * elapsed_s - admitted
        max_debt = MAX_DEBT_S * rate_per_s + self.bounds.quota_slack
        account.level = min(bound, max(-max_debt, level))
        if account.level == bound and not self.unheard:
            rest_per_s = REST_SHARE * account.rate_per_s
            if all(
                demand.slow_per_s < rest_per_s
                for demand in account.demands.values()
            ):
                self.active.discard(number)

    # Partitions.

    def _note_weights(self, now: float) -> None:
        """Notes the demand of the failure domains while all are heard."""
        if (
            now - self.weights_at < WEIGHTS_INTERVAL_S
            or self.unheard
            or not all(
                remote.is_fresh(now)
                for domain, remote in self.remotes.items()
                if domain in self.domains
            )
        ):
            return
        self.weights_at = now
        for number in self.active:
            account = self.accounts[number]
            account.older_weights = account.weights
            account.weights = {
                domain: demand.slow_per_s
                for domain, demand in account.demands.items()
            }

    def _apply_unheard(self, unheard: frozenset[str], now: float) -> None:
        """Adapts the parts of the caps that this side may use."""
        if not self.unheard:
            self.unheard_since = now
            for account in self.accounts.values():
                account.joint_level = account.level
        # After a short time, what the others used is known and is subtracted.
        is_known = now - self.unheard_since < SOURCE_LIFETIME_S - QUIET_S
        new = unheard - self.unheard
        shares = {
            number: self._compute_share(account)
            for number, account in self.accounts.items()
        }
        self.unheard = unheard
        for number, account in self.accounts.items():
            part = self._get_part(account)
            if part < account.part:
                ratio = part / account.part
                missed = self._estimate_missed(account, new, ratio)
                account.level = (account.level - shares[number] * missed) * (
                    ratio
                )
            elif not unheard and is_known:
                account.level = account.joint_level
            # Else this side is larger and does not know what the others saved.
            account.part = part
            self.active.add(number)

    def _estimate_missed(
        self, account: LedgerAccount, domains: frozenset[str], ratio: float
    ) -> float:
        """Returns what domains asked for before their silence was noticed.

        Demand here may have risen since they were last heard; it is assumed
        to have risen there as well.

        Args:
          account: Account of the organisation.
          domains: The domains.
          ratio: Part of the cap that the others keep.
        """
        last_per_s = 0.0
        heard_per_s = 0.0
        for domain, demand in account.demands.items():
            if domain in domains:
                last_per_s += demand.fast_per_s
            elif domain not in self.unheard:
                heard_per_s += demand.fast_per_s
        alike_per_s = heard_per_s * (1.0 - ratio) / ratio
        return max(last_per_s, alike_per_s) * QUIET_S

    def _get_part(self, account: LedgerAccount) -> float:
        """Returns the part of a cap that the domains in contact use."""
        if not self.unheard:
            return 1.0
        floor = WEIGHT_FLOOR * account.rate_per_s / len(self.domains)
        weights = {
            domain: floor + account.older_weights.get(domain, 0.0)
            for domain in self.domains
        }
        heard = sum(
            weight
            for domain, weight in weights.items()
            if domain not in self.unheard
        )
        return heard / sum(weights.values())

    # Messages.

    def get_shares(self, now: float) -> UsageShares | None:
        """Returns the shares for the next report; None without any caps."""
        if not self.organisations:
            return None
        shares = []
        for number in self.active:
            share = self._compute_share(self.accounts[number])
            if share < 1.0:
                shares.append((number, int(share * SHARE_UNITS)))
        return UsageShares(now - self.started_at >= SETTLING_S, shares)

    def _compute_share(self, account: LedgerAccount) -> float:
        demand_per_s = sum(
            demand.fast_per_s
            for domain, demand in account.demands.items()
            if domain not in self.unheard
        )
        bound = account.burst * account.part
        if account.level >= bound * FREE_LEVEL:
            return 1.0
        allowed_per_s = (
            account.rate_per_s * account.part + account.level / CORRECTION_S
        )
        if allowed_per_s >= demand_per_s:
            return 1.0
        if allowed_per_s <= 0.0:
            return 0.0
        return allowed_per_s / demand_per_s

    def make_domain_usage(
        self, address: str, connection: object, now: float
    ) -> UsageCounts | None:
        """Returns the sums for a hub of another failure domain.

        Args:
          address: Address of the hub.
          connection: Connection to it.
          now: Current time, in seconds.

        Returns:
          None if no organisation with a cap is active.
        """
        if now - self.changed_at > ACTIVE_S:
            return None
        changed = self.changes.take(address, connection)
        sums = self.counter.sums
        return UsageCounts(
            changed is None,
            [
                (number, round(sums[number][0]), round(sums[number][1]))
                for number in (sums if changed is None else changed)
            ],
        )
