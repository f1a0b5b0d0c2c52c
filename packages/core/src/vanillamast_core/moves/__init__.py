"""Moves of traffic: their schedule and the verdict on new versions."""

from vanillamast_core.moves.evidence import EvidenceCell, Side
from vanillamast_core.moves.move import FINAL_STATES, Move, MoveState

__all__ = ["FINAL_STATES", "EvidenceCell", "Move", "MoveState", "Side"]
