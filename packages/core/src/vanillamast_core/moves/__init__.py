"""Moves of traffic: their schedule and the verdict on new versions.

`Move` and `EvidenceCell` are imported first to break an import cycle: the
journal and the peers import them, and the driver imports the journal's records.
"""

from vanillamast_core.moves.evidence import EvidenceCell, Side
from vanillamast_core.moves.move import FINAL_STATES, Move, MoveState

# isort: split
from vanillamast_core.moves.alarms import find_alarms
from vanillamast_core.moves.baseline import Baseline
from vanillamast_core.moves.cell_merge import OTHERS, merge_cells
from vanillamast_core.moves.cell_selection import CellSelection
from vanillamast_core.moves.deadline_unreachable import DeadlineUnreachable
from vanillamast_core.moves.driver import Driver
from vanillamast_core.moves.driver_settings import DriverSettings
from vanillamast_core.moves.evidence_settings import EvidenceSettings
from vanillamast_core.moves.evidence_window import EvidenceWindow
from vanillamast_core.moves.judge import Judge
from vanillamast_core.moves.judge_settings import JudgeSettings
from vanillamast_core.moves.observation import Observation
from vanillamast_core.moves.verdict import (
    NoRegression,
    Regression,
    Undecided,
    Verdict,
)
from vanillamast_core.moves.verdict_tests import (
    OutcomeCounts,
    VerdictTest,
    verdict_test,
    verdict_tests,
)
from vanillamast_core.moves.version_split import VersionSplit

__all__ = [
    "FINAL_STATES",
    "OTHERS",
    "Baseline",
    "CellSelection",
    "DeadlineUnreachable",
    "Driver",
    "DriverSettings",
    "EvidenceCell",
    "EvidenceSettings",
    "EvidenceWindow",
    "Judge",
    "JudgeSettings",
    "Move",
    "MoveState",
    "NoRegression",
    "Observation",
    "OutcomeCounts",
    "Regression",
    "Side",
    "Undecided",
    "Verdict",
    "VerdictTest",
    "VersionSplit",
    "find_alarms",
    "merge_cells",
    "verdict_test",
    "verdict_tests",
]
