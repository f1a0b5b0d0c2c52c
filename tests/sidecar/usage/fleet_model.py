"""A fleet in memory: nodes that admit, and hubs that report with delays."""

import heapq
import itertools
import random

from vanillamast_sidecar.organisations.organisation import Organisation
from vanillamast_sidecar.settings import Bounds
from vanillamast_sidecar.usage.usage_ledger import UsageLedger
from vanillamast_sidecar.usage.usage_limiter import UsageLimiter

BOUNDS = Bounds(2.0, 6.0, 2.5, 0.2, 10.0, 60.0, 0.1, 50.0, 5.0)
STEP_S = 0.01
HEARTBEAT_S = 0.1
REPORT_S = 0.2
DOMAIN_DELAY_S = 0.005
PATH_DELAY_S = 0.04
# Time after which hubs take the connections to other domains for lost.
LINK_LOSS_S = 1.5


def organisation(rate_per_s, burst):
    """Returns an organisation with a cap."""
    return Organisation("acme", ("key",), None, rate_per_s, burst)


class ModelNode:
    """A node, which may also be a hub."""

    def __init__(self, number, domain, is_hub):
        self.number = number
        self.address = f"10.0.{number // 250}.{number % 250}:1"
        self.domain = domain
        self.is_hub = is_hub
        self.cut_off = False
        self.start(1)

    def start(self, incarnation):
        """Starts the process, which knows nothing."""
        self.incarnation = incarnation
        self.limiter = UsageLimiter(self.address, BOUNDS)
        self.limiter.nodes = 70
        self.ledger = UsageLedger(self.domain, BOUNDS)
        self.connections = {}
        self.running = True
        self.ticks = self.number


class FleetModel:
    """Nodes and hubs of some failure domains under a test clock."""

    def __init__(self, cap, seed, nodes=70, domains=4):
        self.cap = cap
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.nodes = [
            ModelNode(n, f"d{n % domains}", n // domains < 2)
            for n in range(nodes)
        ]
        self.domains = {f"d{n}": 0 for n in range(domains)}
        self.parted_at = 0.0
        self.runs = []
        self.asked = 0
        self.refused = 0
        self.offered = []
        self.return_s = None
        for node in self.nodes:
            node.ledger.apply_organisations([cap])
            self.at(self.rng.uniform(0.0, HEARTBEAT_S), self.maintain, node)

    def at(self, time, call, *args):
        """Schedules a call."""
        heapq.heappush(self.events, (time, next(self.order), call, args))

    def set_cap(self, cap):
        """Applies another cap on all nodes."""
        self.cap = cap
        for node in self.nodes:
            node.ledger.apply_organisations([cap])

    def part(self, sides):
        """Separates failure domains; the side of each, by domain."""
        self.domains = sides
        self.parted_at = self.now

    def heal(self):
        """Connects all failure domains again."""
        self.domains = dict.fromkeys(self.domains, 0)

    def hears(self, one, other):
        """Returns whether messages between two nodes arrive."""
        return not (one.cut_off or other.cut_off) and (
            self.domains[one.domain] == self.domains[other.domain]
        )

    # Nodes.

    def hubs_of(self, domain):
        """Returns the hubs of a failure domain."""
        return [
            node
            for node in self.nodes
            if node.is_hub and node.domain == domain and node.running
        ]

    def maintain(self, node):
        """Does what a node does in each heartbeat interval."""
        self.at(self.now + HEARTBEAT_S, self.maintain, node)
        if not node.running:
            return
        node.ticks += 1
        hubs = [h for h in self.hubs_of(node.domain) if h is not node]
        node.limiter.changes.retain(
            {h.address for h in hubs}
            | ({node.address} if node.is_hub else set())
        )
        for position, hub in enumerate(hubs):
            if node.ticks % 2 == position % 2 and self.hears(node, hub):
                self.send_heartbeat(node, hub)
        if node.is_hub:
            self.work(node)

    def send_heartbeat(self, node, hub):
        """Sends the counts of a node to a hub."""
        link = (hub.address, hub.incarnation)
        connection = node.connections.setdefault(link, link)
        counts = node.limiter.make_counts(hub.address, connection)
        delay = DOMAIN_DELAY_S * self.rng.uniform(0.5, 3.0)
        self.at(
            self.now + delay, self.deliver, node, node.incarnation, hub, counts
        )

    def deliver(self, node, incarnation, hub, counts):
        """Delivers a heartbeat to a hub."""
        subscribers = hub.connections.setdefault("subscribers", set())
        is_new = (node.address, incarnation) not in subscribers
        subscribers.add((node.address, incarnation))
        hub.ledger.handle_counts(
            node.address, incarnation, counts, is_new, self.now
        )

    def work(self, hub):
        """Does what a hub does in each heartbeat interval."""
        ledger = hub.ledger
        counts = hub.limiter.make_counts(hub.address, hub)
        ledger.handle_counts(
            hub.address, hub.incarnation, counts, False, self.now
        )
        others = [d for d in self.domains if d != hub.domain]
        lost = []
        if self.now - self.parted_at > LINK_LOSS_S:
            side = self.domains[hub.domain]
            lost = [d for d in others if self.domains[d] != side]
        silent = {
            n.address
            for n in self.nodes
            if n.domain == hub.domain and (n.cut_off or not n.running)
        }
        ledger.update(others, lost, silent - {hub.address}, self.now)
        if hub.ticks % 2:
            return
        for domain in others:
            for other in self.hubs_of(domain):
                if not self.hears(hub, other):
                    continue
                usage = ledger.make_domain_usage(
                    other.address, (other.address, other.incarnation), self.now
                )
                if usage is not None:
                    delay = PATH_DELAY_S * self.rng.uniform(0.8, 1.5)
                    self.at(
                        self.now + delay,
                        other.ledger.handle_domain_usage,
                        hub.domain,
                        hub.address,
                        hub.incarnation,
                        usage,
                        self.now + delay,
                    )
        shares = ledger.get_shares(self.now)
        for node in self.nodes:
            if node.domain == hub.domain and self.hears(hub, node):
                delay = DOMAIN_DELAY_S * self.rng.uniform(0.5, 3.0)
                self.at(
                    self.now + delay,
                    node.limiter.apply_shares,
                    shares,
                    self.now + delay,
                )

    # Requests.

    def ask(self, node):
        """Sends a request to a node."""
        if not node.running:
            return
        self.asked += 1
        wait_s = node.limiter.admit(self.cap, self.now)
        if wait_s is None:
            self.runs.append(self.now)
            return
        self.refused += 1
        if self.return_s == "retry-after":
            self.at(self.now + wait_s, self.ask, node)
        elif self.return_s is not None and self.rng.random() < 0.9:
            self.at(self.now + self.return_s, self.ask, node)

    def run(self, seconds, rate_per_s, nodes=None):
        """Lets callers send requests for a time, evenly to some nodes."""
        nodes = nodes or self.nodes
        end = self.now + seconds
        arrival = self.now + self.rng.expovariate(rate_per_s)
        while True:
            event = self.events[0][0]
            if min(event, arrival) >= end:
                break
            if event <= arrival:
                time, _, call, args = heapq.heappop(self.events)
                self.now = max(self.now, time)
                call(*args)
            else:
                self.now = arrival
                self.offered.append(self.now)
                self.ask(self.rng.choice(nodes))
                arrival += self.rng.expovariate(rate_per_s)
        self.now = end

    # Checks.

    def worst_excess(self, cap=None, since=0.0):
        """Returns by how much the fullest window exceeds the bound."""
        cap = cap or self.cap
        window = BOUNDS.quota_window_s
        bound = (cap.rate_per_s * window + cap.burst) * (
            1.0 + BOUNDS.quota_over
        ) + BOUNDS.quota_slack
        runs = [at for at in self.runs if at >= since]
        worst, first = 0, 0
        for last, at in enumerate(runs):
            while runs[first] <= at - window:
                first += 1
            worst = max(worst, last - first + 1)
        return worst - bound

    def used(self, start, end):
        """Returns the runs as a share of what the cap allows.

        What it allows is what a token bucket that knows all would admit.
        """
        level, last, allowed = self.cap.burst, 0.0, 0
        for at in self.offered:
            level = min(
                self.cap.burst, level + (at - last) * self.cap.rate_per_s
            )
            last = at
            if level >= 1.0:
                level -= 1.0
                allowed += start <= at < end
        return sum(start <= at < end for at in self.runs) / max(1, allowed)
