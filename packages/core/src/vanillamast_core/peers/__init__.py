"""Overlay, dissemination and membership among nodes."""

from vanillamast_core.peers.key_messages import (
    ClaimKey,
    KeyAnswer,
    KeyState,
    SettleKey,
)
from vanillamast_core.peers.message import (
    Message,
    message_codec,
    message_kinds,
)
from vanillamast_core.peers.move_messages import Alarms, Evidence

__all__ = [
    "Alarms",
    "ClaimKey",
    "Evidence",
    "KeyAnswer",
    "KeyState",
    "Message",
    "SettleKey",
    "message_codec",
    "message_kinds",
]
