"""Merging and bounding of evidence cells."""

import hashlib
from collections.abc import Iterable

import msgspec

from vanillamast_core.moves.evidence import EvidenceCell, Side
from vanillamast_core.moves.evidence_settings import EvidenceSettings
from vanillamast_core.moves.latency_bins import add_bins, limit_bins

OTHERS = "*"  # Pools the instances, routes and domains beyond their limits.

CellKey = tuple[int, str, str, int, Side, str, str]
DEFAULT_SETTINGS = EvidenceSettings()


def cell_key(cell: EvidenceCell) -> CellKey:
    """Returns the key that two cells must share to be merged."""
    return (
        cell.move,
        cell.route,
        cell.failure_domain,
        cell.bucket,
        cell.side,
        cell.instance,
        cell.server_domain,
    )


def add_cell(target: EvidenceCell, source: EvidenceCell) -> None:
    """Adds the counts of `source` to `target` without comparing their keys."""
    target.requests += source.requests
    target.failures += source.failures
    target.connect_failures += source.connect_failures
    add_bins(target.latency, source.latency)


def copy_cell(cell: EvidenceCell) -> EvidenceCell:
    """Returns a copy that shares nothing with the original."""
    return msgspec.structs.replace(cell, latency=dict(cell.latency))


def select_named_instances(instances: Iterable[str], limit: int) -> set[str]:
    """Returns the instances that cells name; the others are pooled.

    The choice is by hash, so that nodes which know the same instances name the
    same ones.
    """
    ranked = sorted(set(instances) - {"", OTHERS}, key=instance_rank)
    return set(ranked[:limit])


def instance_rank(instance: str) -> bytes:
    """Returns the hash by which the named instances are chosen."""
    return hashlib.blake2b(instance.encode(), digest_size=8).digest()


def merge_cells(
    a: Iterable[EvidenceCell],
    b: Iterable[EvidenceCell],
    settings: EvidenceSettings = DEFAULT_SETTINGS,
) -> tuple[EvidenceCell, ...]:
    """Merges two batches of cells without changing them.

    Args:
      a: Cells.
      b: More cells.
      settings: Limits on named instances and latency bins.

    Returns:
      One cell for each key, in order of first appearance.
    """
    cells = [*a, *b]
    seen: dict[int, set[str]] = {}
    for cell in cells:
        if cell.side is Side.NEW:
            seen.setdefault(cell.move, set()).add(cell.instance)
    named = {
        move: select_named_instances(instances, settings.max_instances)
        for move, instances in seen.items()
    }
    merged: dict[CellKey, EvidenceCell] = {}
    for cell in cells:
        copied = copy_cell(cell)
        if cell.side is Side.NEW and cell.instance not in named[cell.move]:
            copied.instance = copied.server_domain = OTHERS
        key = cell_key(copied)
        if key in merged:
            add_cell(merged[key], copied)
        else:
            merged[key] = copied
    for cell in merged.values():
        cell.latency = limit_bins(cell.latency, settings.max_bins)
    return tuple(merged.values())
