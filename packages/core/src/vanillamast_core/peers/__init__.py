"""Overlay, gossip and membership protocol among nodes."""

from vanillamast_core.peers.alarm_set import AlarmSet
from vanillamast_core.peers.directory_messages import (
    Announcements,
    AnnouncementsRequest,
    DigestReply,
    DigestRequest,
    Liveness,
    LivenessClaim,
)
from vanillamast_core.peers.effects import (
    AlarmRaised,
    CloseLink,
    Dial,
    DirectoryChanged,
    EntriesApplied,
    EvidenceReceived,
    PeerEffect,
    ReadLog,
    Send,
    StateLoaded,
)
from vanillamast_core.peers.entry_broadcaster import (
    EntryBroadcaster,
    strip_snapshot_payload,
)
from vanillamast_core.peers.entry_store import EntryStore
from vanillamast_core.peers.instance_directory import (
    InstanceDirectory,
    pack_announcement,
    unpack_announcement,
)
from vanillamast_core.peers.instance_record import InstanceRecord
from vanillamast_core.peers.key_messages import (
    ClaimKey,
    KeyAnswer,
    KeyState,
    SettleKey,
)
from vanillamast_core.peers.link_messages import (
    Busy,
    Entries,
    Graft,
    Heartbeat,
    Hello,
    Prune,
    StateChunk,
    StateRequest,
)
from vanillamast_core.peers.liveness import LivenessState
from vanillamast_core.peers.log_reader_selector import LogReaderSelector
from vanillamast_core.peers.mesh import Mesh
from vanillamast_core.peers.message import (
    Message,
    message_codec,
    message_kinds,
)
from vanillamast_core.peers.move_messages import Alarms, Evidence
from vanillamast_core.peers.peer_selector import PeerSelector
from vanillamast_core.peers.rendezvous import rendezvous_score
from vanillamast_core.peers.settings import PeerSettings

__all__ = [
    "AlarmRaised",
    "AlarmSet",
    "Alarms",
    "Announcements",
    "AnnouncementsRequest",
    "Busy",
    "ClaimKey",
    "CloseLink",
    "Dial",
    "DigestReply",
    "DigestRequest",
    "DirectoryChanged",
    "Entries",
    "EntriesApplied",
    "EntryBroadcaster",
    "EntryStore",
    "Evidence",
    "EvidenceReceived",
    "Graft",
    "Heartbeat",
    "Hello",
    "InstanceDirectory",
    "InstanceRecord",
    "KeyAnswer",
    "KeyState",
    "Liveness",
    "LivenessClaim",
    "LivenessState",
    "LogReaderSelector",
    "Mesh",
    "Message",
    "PeerEffect",
    "PeerSelector",
    "PeerSettings",
    "Prune",
    "ReadLog",
    "Send",
    "SettleKey",
    "StateChunk",
    "StateLoaded",
    "StateRequest",
    "message_codec",
    "message_kinds",
    "pack_announcement",
    "rendezvous_score",
    "strip_snapshot_payload",
    "unpack_announcement",
]
