"""Settings of one node's core."""

import dataclasses

from vanillamast_core.control.control_settings import ControlSettings
from vanillamast_core.journal import LeaseSettings, SnapshotSettings
from vanillamast_core.moves import (
    DriverSettings,
    EvidenceSettings,
    JudgeSettings,
)
from vanillamast_core.peers import PeerSettings


@dataclasses.dataclass(slots=True, frozen=True)
class CoreSettings:
    """Identity and settings with which a `NodeCore` starts.

    Attributes:
      instance: Name of the instance.
      region: Region of the instance.
      failure_domain: Failure domain of the instance.
      service: Service of the local backend server, "" if none.
      edge: Whether callers outside the mesh connect to the node.
      peer_address: "ip:port" of the listener for peers.
      operator_address: "ip:port" of the listener for operators.
      holder: Name of this process as a lease holder.
      seeds: Peer addresses of some nodes to connect to first.
    """

    instance: str
    region: str
    failure_domain: str
    service: str
    edge: bool
    peer_address: str
    operator_address: str
    holder: str
    seeds: tuple[str, ...] = ()
    control: ControlSettings = ControlSettings()
    peers: PeerSettings = PeerSettings()
    driver: DriverSettings = DriverSettings()
    judge: JudgeSettings = JudgeSettings()
    evidence: EvidenceSettings = EvidenceSettings()
    leases: LeaseSettings = LeaseSettings()
    snapshots: SnapshotSettings = SnapshotSettings()
