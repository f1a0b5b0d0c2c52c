"""Tests of the fleet-wide bucket and demand on a hub."""

import hypothesis.strategies as st
import pytest
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from vanillamast_sidecar.mesh.frame_codec import make_frame
from vanillamast_sidecar.mesh.messages import DomainUsage
from vanillamast_sidecar.usage.organisation_id import compute_organisation_id
from vanillamast_sidecar.usage.usage_counts import UsageCounts
from vanillamast_sidecar.usage.usage_ledger import SETTLING_S, UsageLedger
from vanillamast_sidecar.usage.usage_shares import SHARE_UNITS

from tests.sidecar.hub_fixture import heartbeat
from tests.sidecar.usage.fleet_model import BOUNDS, FleetModel, organisation

NUMBER = compute_organisation_id("acme")
RATE = 100.0
TICK_S = 0.1


class Domain:
    """A ledger, one node of its domain, and a hub of another domain."""

    def __init__(self, cap=None):
        self.ledger = UsageLedger("a", BOUNDS)
        self.ledger.apply_organisations([cap or organisation(RATE, 50.0)])
        self.now = 0.0
        self.own = [0, 0]
        self.remote = [0, 0]
        self.ledger.handle_counts("n", 1, None, True, 0.0)
        empty = UsageCounts(True, [])
        self.ledger.handle_domain_usage("b", "h", 1, empty, 0.0)

    def tick(self, own=(0, 0), remote=None):
        """Adds requests asked for and admitted, and brings all up to date."""
        self.now += TICK_S
        self.own = [a + b for a, b in zip(self.own, own, strict=True)]
        counts = UsageCounts(True, [(NUMBER, *self.own)])
        self.ledger.handle_counts("n", 1, counts, False, self.now)
        if remote is not None:
            self.remote = [
                a + b for a, b in zip(self.remote, remote, strict=True)
            ]
            usage = UsageCounts(True, [(NUMBER, *self.remote)])
            self.ledger.handle_domain_usage("b", "h", 1, usage, self.now)
        self.ledger.update(["b"], [], set(), self.now)

    @property
    def share(self):
        """Returns the share of the organisation."""
        shares = dict(self.ledger.get_shares(self.now).shares)
        return shares.get(NUMBER, SHARE_UNITS) / SHARE_UNITS

    @property
    def account(self):
        """Returns the account of the organisation."""
        return self.ledger.accounts[NUMBER]


class TestUsageLedger:
    """Shares follow demand, and debts are repaid."""

    def test_demand_above_the_cap_is_shared(self):
        """Guards against shares that do not lead to the rate of the cap."""
        domain = Domain()
        for _ in range(80):
            share = domain.share
            domain.tick((50, 50 * share))
        assert domain.share * 500 == pytest.approx(RATE, rel=0.1)

    def test_a_debt_is_repaid(self):
        """Guards against a window with more than the bound."""
        domain = Domain()
        domain.tick((500, 500))
        assert domain.account.level < -100.0
        assert domain.share == 0.0
        for _ in range(60):
            share = domain.share
            domain.tick((50, 50 * share))
        assert abs(domain.account.level) < 60.0

    def test_a_debt_without_demand_admits_nothing(self):
        """Guards against a division by the demand of zero on a cut-off side."""
        domain = Domain()
        for _ in range(20):
            domain.tick((0, 0), (50, 50))
        for _ in range(8):
            domain.tick()
            assert domain.ledger.unheard or domain.share == 0.0
        assert domain.ledger.unheard and domain.share == 0.0

    def test_a_lowered_cap_cuts_the_level(self):
        """Guards against tokens of the old cap that outlast it."""
        domain = Domain(organisation(RATE, 1000.0))
        for _ in range(150):
            domain.tick((1, 1))
        assert domain.account.level > 900.0
        domain.ledger.apply_organisations([organisation(1.0, 2.0)])
        assert domain.account.level <= 7.0

    def test_remote_domains_count(self):
        """Guards against a full cap in each failure domain."""
        domain = Domain()
        for _ in range(80):
            share = domain.share
            half = (25, 25 * share)
            domain.tick(half, half)
        assert domain.share * 500 == pytest.approx(RATE, rel=0.1)

    def test_a_lost_domain_keeps_its_part(self):
        """Guards against a side that takes what the others use."""
        domain = Domain()
        for _ in range(80):
            domain.tick((3, 3), (9, 9))
        for _ in range(10):
            domain.tick((30, 30))
        assert domain.account.part == pytest.approx(0.25, abs=0.05)

    def test_a_hub_that_starts_has_no_tokens_and_does_not_judge(self):
        """Guards against a full bucket after a kill of all nodes."""
        domain = Domain()
        domain.tick((9, 9))
        assert domain.account.level <= 10.0
        assert not domain.ledger.get_shares(domain.now).settled
        assert domain.ledger.get_shares(SETTLING_S + 0.1).settled

    def test_nothing_is_sent_at_rest(self):
        """Guards against messages without organisations that are active."""
        domain = Domain()
        domain.tick((5, 5))
        ledger = domain.ledger
        first = ledger.make_domain_usage("x", "link", domain.now)
        assert first.complete and first.entries == [(NUMBER, 5, 5)]
        again = ledger.make_domain_usage("x", "link", domain.now)
        assert again.entries == []
        assert ledger.make_domain_usage("x", "link", domain.now + 4) is None

    def test_organisations_without_a_cap_cost_nothing(self):
        """Guards against reports that grow where no cap is configured."""
        domain = Domain(organisation(0.0, 0.0))
        domain.tick((9, 9))
        assert domain.ledger.get_shares(domain.now) is None
        assert heartbeat().usage is None


class TestMessageSizes:
    """What a node sends does not depend on the size of the fleet."""

    def test_sizes_are_flat_from_70_to_1200_nodes(self):
        """Guards against an entry for each pair of organisation and node."""
        sizes = []
        for nodes, domains in ((70, 4), (1200, 8)):
            fleet = FleetModel(organisation(330.0, 330.0), 1, nodes, domains)
            fleet.run(3.0, 1500.0)
            hub = fleet.hubs_of("d0")[0]
            counts = fleet.nodes[-1].limiter.make_counts("new", None)
            usage = hub.ledger.make_domain_usage("new", None, fleet.now)
            shares = hub.ledger.get_shares(fleet.now)
            sizes.append(
                (
                    len(counts.entries),
                    len(make_frame(DomainUsage(usage))),
                    len(shares.shares),
                )
            )
        assert sizes[0][0] == sizes[1][0] == 1
        assert sizes[0][2] == sizes[1][2] == 1
        assert max(size for _, size, _ in sizes) <= 40


class LedgerMachine(RuleBasedStateMachine):
    """Demand, partitions and caps in any order.

    The oracle is a plain token bucket that is fed with the same requests. It
    holds while both failure domains are heard all the time.
    """

    def __init__(self):
        super().__init__()
        self.domain = Domain()
        self.level = 0.0
        self.rate = RATE * 1.02
        self.burst = 55.0

    @rule(
        asked=st.integers(0, 40),
        remote=st.integers(0, 40),
        ticks=st.integers(1, 10),
    )
    def ask(self, asked, remote, ticks):
        """Admits all that is asked for."""
        for _ in range(ticks):
            is_first = NUMBER not in self.domain.ledger.accounts
            self.domain.tick((asked, asked), (remote, remote))
            used = asked + remote
            if is_first:
                self.level = min(
                    self.burst, (self.domain.now - TICK_S) * self.rate
                )
            if NUMBER not in self.domain.ledger.accounts:
                continue
            earned = self.rate * TICK_S
            debt = -2.5 * self.rate - BOUNDS.quota_slack
            self.level = min(self.burst, max(debt, self.level + earned - used))

    @rule(rate=st.sampled_from([5.0, 50.0, RATE]), burst=st.integers(0, 90))
    def change_cap(self, rate, burst):
        """Applies another cap."""
        self.domain.ledger.apply_organisations([organisation(rate, burst)])
        self.rate = rate * 1.02
        self.burst = burst + 5.0
        self.level = min(self.level, self.burst)

    @invariant()
    def level_is_true(self):
        """Compares the level with the oracle, and checks the share."""
        if NUMBER in self.domain.ledger.accounts:
            assert abs(self.domain.account.level - self.level) < 1e-6
        assert 0.0 <= self.domain.share <= 1.0
        if self.level < -self.rate and NUMBER in self.domain.ledger.accounts:
            assert self.domain.share == 0.0


TestFuzzUsageLedger = LedgerMachine.TestCase
