"""Settings of a node."""

from typing import Annotated

import msgspec
from vanillamast_core.control import ControlSettings
from vanillamast_core.journal import LeaseSettings, SnapshotSettings
from vanillamast_core.moves import (
    DriverSettings,
    EvidenceSettings,
    JudgeSettings,
)
from vanillamast_core.peers import PeerSettings
from vanillamast_core.requests import RequestSettings

from vanillamast_node.forwarding_settings import ForwardingSettings
from vanillamast_node.listen_settings import Address, ListenSettings
from vanillamast_node.log_settings import LogSettings
from vanillamast_node.platform_settings import PlatformSettings

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings that a node reads at its start.

    Attributes:
      instance: Name of the instance, unique in the mesh.
      region: Region of the instance.
      failure_domain: Failure domain of the instance.
      listen: Addresses that the node listens on.
      platform: The platform's log service.
      service: Service of the local server, "" if there is none.
      edge: Whether the node accepts requests of callers outside the mesh.
      seeds: "ip:port" of some nodes' listeners for peers.
      log: The node's log.
      forwarding: Limits of the HTTP path and of a planned stop.
      control: Periods of the core.
      peers: Overlay and membership.
      driver: Schedule of moves.
      judge: Verdict on new versions.
      evidence: Limits of what a node reports about moves.
      leases: Durations of leases.
      snapshots: Snapshots in the log.
      requests: Routing, limits and retries.
    """

    instance: Name
    region: Name
    failure_domain: Name
    listen: ListenSettings
    platform: PlatformSettings
    service: str = ""
    edge: bool = False
    seeds: tuple[Address, ...] = ()
    log: LogSettings = LogSettings()
    forwarding: ForwardingSettings = ForwardingSettings()
    control: ControlSettings = ControlSettings()
    peers: PeerSettings = PeerSettings()
    driver: DriverSettings = DriverSettings()
    judge: JudgeSettings = JudgeSettings()
    evidence: EvidenceSettings = EvidenceSettings()
    leases: LeaseSettings = LeaseSettings()
    snapshots: SnapshotSettings = SnapshotSettings()
    requests: RequestSettings = RequestSettings()
