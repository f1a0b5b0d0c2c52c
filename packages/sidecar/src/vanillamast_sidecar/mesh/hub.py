"""Collects the heartbeats of a failure domain and reports them."""

import dataclasses
import itertools

from vanillamast_sidecar.membership.load_report import LoadReport
from vanillamast_sidecar.membership.membership import Membership
from vanillamast_sidecar.mesh.messages import (
    DomainStatus,
    HubReport,
    NodeHeartbeat,
    VersionReport,
)

# Interval of the heartbeats to a hub and of its reports. With two hubs in
# turn, load reports are half as old.
HUB_INTERVAL_S = 0.2
# A node is silent after this time without a heartbeat: two are missing.
HEARTBEAT_TIMEOUT_S = 0.5
# A node that becomes a hub, or learns of a node, waits this long for that
# node's first heartbeat.
FIRST_HEARTBEAT_TIMEOUT_S = 1.2
# A hub reports the version of a store reader for this long after its last
# heartbeat.
VERSION_LIFETIME_S = 2 * HEARTBEAT_TIMEOUT_S
# A hub sends reports to a node for this long after its last heartbeat.
SUBSCRIPTION_S = 2.0
# Silent nodes of other domains count until their hubs have not repeated them
# for this long: two missing reports.
REMOTE_STATUS_LIFETIME_S = 5.0
# Hubs of other domains whose statuses are kept, silent nodes of each, and the
# longest address of one: more than any fleet has.
MAX_REMOTE_HUBS = 64
MAX_SILENT = 1024
MAX_ADDRESS = 64


@dataclasses.dataclass(slots=True)
class HubEntry:
    """What a hub knows of a node of its failure domain.

    Attributes:
      number: Number of the node in the hub's reports.
      load: Load of the node's server.
      heard_at: When the last heartbeat arrived, in loop time.
      version: Version of the operator's state that the node has.
      version_at: When that version was reported, in loop time.
    """

    number: int
    load: LoadReport
    heard_at: float
    version: VersionReport
    version_at: float


class Hub:
    """State of the failure domain, from the heartbeats of its nodes.

    Attributes:
      membership: Known nodes.
      entries: Nodes that have sent a heartbeat, by address.
      changed: Addresses of the nodes whose load changed since the last report.
      added: Addresses of the nodes that are new since the last report.
      expected_since: Since when a node's first heartbeat is awaited, in loop
        time, by address.
      remote: Silent nodes and time of the newest status, by the address of
        the other domain's hub that sent it.
    """

    def __init__(self, membership: Membership):
        self.membership = membership
        self.entries: dict[str, HubEntry] = {}
        self.numbers = itertools.count(1)
        self.changed: set[str] = set()
        self.added: set[str] = set()
        self.expected_since: dict[str, float] = {}
        self.remote: dict[str, tuple[frozenset[str], float]] = {}

    def reset(self) -> None:
        """Awaits first heartbeats again when this node starts as a hub."""
        self.expected_since.clear()
        self.remote.clear()

    def remove(self, address: str) -> None:
        """Forgets a node that was removed from the membership."""
        self.entries.pop(address, None)
        self.added.discard(address)
        self.changed.discard(address)
        self.expected_since.pop(address, None)

    def handle_heartbeat(
        self, address: str, heartbeat: NodeHeartbeat, now: float
    ) -> None:
        """Stores the state of a node."""
        version = VersionReport(
            address,
            heartbeat.config_version,
            heartbeat.operator_offset,
            heartbeat.store_age_s,
            heartbeat.operator_era,
        )
        entry = self.entries.get(address)
        if entry is None:
            number = next(self.numbers)
            self.entries[address] = HubEntry(
                number, heartbeat.load, now, version, now
            )
            self.added.add(address)
            self.changed.add(address)
            return
        entry.heard_at = now
        entry.version = version
        entry.version_at = now
        if entry.load != heartbeat.load:
            entry.load = heartbeat.load
            self.changed.add(address)

    def handle_status(
        self, address: str, status: DomainStatus, now: float
    ) -> None:
        """Stores the silent nodes that a hub of another domain reports."""
        if address not in self.remote and len(self.remote) >= MAX_REMOTE_HUBS:
            return
        silent = frozenset(
            name
            for name in status.silent[:MAX_SILENT]
            if len(name) <= MAX_ADDRESS
        )
        self.remote[address] = (silent, now)

    def is_heard(self, address: str, now: float) -> bool:
        """Returns whether a node uses this one as a hub."""
        entry = self.entries.get(address)
        return entry is not None and now - entry.heard_at < SUBSCRIPTION_S

    def find_silent(self, now: float) -> set[str]:
        """Returns the nodes of this domain that send no heartbeats."""
        silent = set()
        for peer in self.membership.own_domain():
            if peer.is_self:
                continue
            address = peer.record.address
            entry = self.entries.get(address)
            since = self.expected_since.setdefault(address, now)
            limit = since + FIRST_HEARTBEAT_TIMEOUT_S
            if entry is not None:
                limit = max(limit, entry.heard_at + HEARTBEAT_TIMEOUT_S)
            if now > limit:
                silent.add(address)
        return silent

    def find_remote_silent(self, now: float) -> set[str]:
        """Returns the silent nodes of other domains.

        A node is silent if all hubs of its domain that still report say so.
        """
        by_domain: dict[str, list[frozenset[str]]] = {}
        for address, (silent, at) in list(self.remote.items()):
            peer = self.membership.peers.get(address)
            if peer is None or now - at > REMOTE_STATUS_LIFETIME_S:
                del self.remote[address]
                continue
            by_domain.setdefault(peer.record.failure_domain, []).append(silent)
        found: set[str] = set()
        for sets in by_domain.values():
            found |= frozenset.intersection(*sets)
        return found

    def make_report(
        self, silent: set[str], lost_domains: list[str], digest: int, now: float
    ) -> HubReport:
        """Returns what has changed since the last report."""
        report = self._build_report(
            self.added, self.changed, silent, lost_domains, digest, now
        )
        self.added = set()
        self.changed = set()
        return report

    def make_first_report(
        self, silent: set[str], lost_domains: list[str], now: float
    ) -> HubReport:
        """Returns a report on all nodes, for a node that had none yet."""
        everything = set(self.entries)
        return self._build_report(
            everything, everything, silent, lost_domains, 0, now
        )

    def _build_report(
        self,
        named: set[str],
        changed: set[str],
        silent: set[str],
        lost_domains: list[str],
        digest: int,
        now: float,
    ) -> HubReport:
        entries = self.entries
        own = self.membership.own.record.address
        versions = [
            _add_age(entry.version, now - entry.version_at)
            for address, entry in entries.items()
            if now - entry.version_at <= VERSION_LIFETIME_S
            and (address == own or entry.version.store_age_s is not None)
        ]
        return HubReport(
            [(entries[address].number, address) for address in named],
            [
                (entries[address].number, entries[address].load)
                for address in changed
            ],
            sorted(silent),
            lost_domains,
            versions,
            digest,
        )


def _add_age(version: VersionReport, age_s: float) -> VersionReport:
    if version.store_age_s is None:
        return version
    return VersionReport(
        version.address,
        version.config_version,
        version.operator_offset,
        round(version.store_age_s + age_s, 3),
        version.operator_era,
    )
