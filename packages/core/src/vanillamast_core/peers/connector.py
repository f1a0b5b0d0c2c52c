"""Links to other nodes: what to dial, and when."""

import random
from collections.abc import Collection

from vanillamast_core.announcement import Announcement
from vanillamast_core.peers.dialer import Dialer
from vanillamast_core.peers.instance_directory import InstanceDirectory
from vanillamast_core.peers.link import Link
from vanillamast_core.peers.link_messages import Busy
from vanillamast_core.peers.link_table import LinkTable
from vanillamast_core.peers.local_health import LocalHealth
from vanillamast_core.peers.membership_protocol import MembershipProtocol
from vanillamast_core.peers.peer_selector import PeerSelector
from vanillamast_core.peers.settings import PeerSettings

CONCURRENT_SEED_DIALS = 2  # By a node without links.
MAX_SEEDS = 64
# Consecutive failed dials after which a peer that answers Busy is avoided.
FAILURES_BEFORE_AVOIDING = 3
LINK_BUSY_RETRY_S = 1.0
MAX_REFERRALS = 4  # Addresses of other nodes in a refusal.


class Connector:
    """Dials overlay targets, seeds and probes, and handles their failures.

    Attributes:
      settings: Timeouts and limits.
      own: This node's announcement at the start.
      rng: Source of randomness.
      directory: All known instances.
      links: Links of this node.
      membership: Suspects instances that cannot be dialed.
      health: This node's own health.
      dialer: Dials with backoff.
      peer_selector: Selects the dial targets.
      seeds: Addresses of some nodes, for joining the mesh.
      seed_instances: Instance last found at a seed's address.
      referrals: Addresses from a node that refused a link, tried before the
        seeds.
      avoided: Time until which an instance is not dialed.
      on_demand: Further instances to link to, for sending evidence.
    """

    def __init__(
        self,
        settings: PeerSettings,
        own: Announcement,
        rng: random.Random,
        directory: InstanceDirectory,
        links: LinkTable,
        membership: MembershipProtocol,
        health: LocalHealth,
        on_demand: Collection[str],
    ):
        self.settings = settings
        self.own = own
        self.rng = rng
        self.directory = directory
        self.links = links
        self.membership = membership
        self.health = health
        self.dialer = Dialer(settings, rng, links)
        self.peer_selector = PeerSelector(own)
        self.seeds: list[str] = []
        self.seed_instances: dict[str, str] = {}
        self.referrals: list[str] = []
        self.avoided: dict[str, float] = {}
        self.on_demand = on_demand
        self._targets: list[str] | None = None
        self._next_probe: float | None = None

    def add_seeds(self, addresses: Collection[str]) -> None:
        """Adds addresses from settings or beacons, up to `MAX_SEEDS`."""
        for address in addresses:
            own = address == self.own.peer_address
            if own or address in self.seeds:
                continue
            if len(self.seeds) < MAX_SEEDS:
                self.seeds.append(address)

    def apply_changes(self, instances: Collection[str]) -> None:
        """Updates the targets after changes in the directory."""
        for instance in instances:
            self.peer_selector.update(
                instance, self.directory.records.get(instance)
            )
        if instances:
            self._targets = None
            self.dialer.restart_failure_timers(instances)

    def get_targets(self) -> list[str]:
        """Returns the overlay peers that this node should be linked to."""
        if self._targets is None:
            self._targets = self.peer_selector.select_targets(self.avoided)
        return self._targets

    def dial_due(self, now: float) -> None:
        """Dials what is due: targets, instances on demand, seeds, probes."""
        for instance in self.get_targets():
            if instance not in self.links.by_instance:
                self._dial_instance(instance, now)
        for instance in self.on_demand:
            if instance not in self.links.by_instance:
                self._dial_instance(instance, now)
        if not self.links.by_instance:
            for address in (self.referrals + self.seeds)[
                :CONCURRENT_SEED_DIALS
            ]:
                known = self.seed_instances.get(address, "")
                self.dialer.dial(address, known, now)
        if self._next_probe is None:
            self._next_probe = now + self.settings.rejoin_min_s
        if now >= self._next_probe:
            self._probe_absent(now)

    def handle_dial_failed(
        self, address: str, refused: bool, now: float
    ) -> None:
        """Handles a failed dial; suspects or avoids the expected instance."""
        state = self.dialer.record_failure(address, now)
        self._rotate_seed(address)
        instance = state.expected_instance
        since = now if state.failing_since is None else state.failing_since
        unreachable = refused or now - since >= self.settings.silence_s
        linked = instance in self.links.by_instance
        if (
            not instance
            or linked
            or not unreachable
            or self.health.is_impaired(now)
        ):
            return
        if self.membership.was_recently_refuted(instance, now):
            self._avoid(instance, now)
        else:
            self.membership.suspect(instance, now)

    def handle_timeouts(self, now: float) -> None:
        """Fails dials that timed out and ends the avoidance of instances."""
        for address in self.dialer.take_timed_out(now):
            self.handle_dial_failed(address, False, now)
        for instance, until in list(self.avoided.items()):
            if now >= until:
                del self.avoided[instance]
                self._targets = None

    def handle_hello(self, link: Link, instance: str, now: float) -> None:
        """Handles the Hello of a peer."""
        self.referrals.clear()
        self.membership.own_suspicions.pop(instance, None)
        if self.avoided.pop(instance, None) is not None:
            self._targets = None
        if link.dialed_address is None:
            return
        if link.dialed_address in self.seeds:
            self.seed_instances[link.dialed_address] = instance
        expected = self.dialer.handle_hello(link.dialed_address)
        if expected and expected != instance:
            # The expected instance was replaced at its address.
            self.membership.suspect(expected, now)

    def drop_link_to_self(self, link: Link) -> None:
        """Closes a link to this node itself and removes that seed."""
        self.links.close(link)
        self.seeds = [
            seed for seed in self.seeds if seed != link.dialed_address
        ]

    def handle_link_refused(
        self, link: Link, message: Busy, now: float
    ) -> None:
        """Handles a peer that refused the link because it has too many."""
        self.links.close(link)
        if link.dialed_address is None:
            return
        state = self.dialer.record_failure(link.dialed_address, now)
        self._rotate_seed(link.dialed_address)
        if not self.links.by_instance:
            self.referrals = list(message.peers[:MAX_REFERRALS])
        if (
            state.expected_instance
            and state.failures >= FAILURES_BEFORE_AVOIDING
        ):
            self._avoid(state.expected_instance, now)

    def handle_link_lost(self, link: Link, now: float) -> None:
        """Handles a lost link: it is dialed again with jitter."""
        if link.dialed_address is not None:
            self.dialer.handle_link_lost(
                link.dialed_address, link.instance, now
            )
        self._probe_leaving(link.instance, now)

    def refuse_link(self, link: Link) -> None:
        """Refuses a link and refers the peer to other linked nodes.

        When a whole failure domain starts at once, all of its nodes dial the
        same few seeds; other nodes are more likely to have room.
        """
        linked = sorted(self.links.by_instance)
        names = self.rng.sample(linked, min(MAX_REFERRALS, len(linked)))
        addresses = [self.directory.get_peer_address(name) for name in names]
        peers = tuple(address for address in addresses if address)
        self.links.send(link, Busy(LINK_BUSY_RETRY_S, peers))
        self.links.close(link)

    def _probe_leaving(self, instance: str, now: float) -> None:
        """Dials a leaving instance once after its link was lost.

        Leaving instances are not dial targets. If the instance has stopped,
        the probe is refused, which shows the stop soon.
        """
        linked = instance in self.links.by_instance
        if instance not in self.directory.leaving or linked:
            return
        address = self.directory.get_peer_address(instance)
        if address:
            self.dialer.probe(address, instance, now)

    def _avoid(self, instance: str, now: float) -> None:
        """Replaces an unreachable instance as a dial target for a while.

        If other nodes reach the instance, it refutes each suspicion;
        suspecting it repeatedly would load the whole mesh.
        """
        self.avoided[instance] = now + self.settings.avoid_s
        self._targets = None

    def _rotate_seed(self, address: str) -> None:
        if address in self.referrals:
            self.referrals.remove(address)
        if address in self.seeds:
            self.seeds.remove(address)
            self.seeds.append(address)

    def _dial_instance(self, instance: str, now: float) -> None:
        address = self.directory.get_peer_address(instance)
        if address:
            self.dialer.dial(address, instance, now)

    def _probe_absent(self, now: float) -> None:
        """Dials a dead or leaving instance or an unlinked seed.

        This rejoins the parts after a partition, and detects the stop of
        instances that no other node dials.
        """
        count = self.directory.count_members(self.own.failure_domain)
        interval = max(
            self.settings.rejoin_min_s, count / self.settings.rejoin_rate
        )
        self._next_probe = now + interval * (0.5 + self.rng.random())
        addresses = [a for a in self.seeds if not self._is_seed_known(a)]
        absent = sorted(self.directory.dead | self.directory.leaving)
        choice = self.rng.randrange(len(addresses) + len(absent) or 1)
        if choice < len(addresses):
            self.dialer.probe(addresses[choice], "", now)
        elif absent:
            instance = absent[choice - len(addresses)]
            address = self.directory.get_peer_address(instance)
            if address and instance not in self.links.by_instance:
                self.dialer.probe(address, instance, now)

    def _is_seed_known(self, address: str) -> bool:
        instance = self.seed_instances.get(address)
        if instance is None or instance not in self.directory.records:
            instance = self.directory.find_instance_at(address)
        if instance is None:
            return False
        self.seed_instances[address] = instance
        # Dead instances are probed separately.
        return True
