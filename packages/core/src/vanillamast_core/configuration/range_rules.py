"""Validation rule on the ranges of numbers."""

from collections.abc import Iterator, Mapping, Set

import msgspec

from vanillamast_core.configuration.configuration import Configuration
from vanillamast_core.configuration.validation import validation_rules
from vanillamast_core.configuration.validation_problem import (
    ProblemKind,
    ValidationProblem,
)

LATEST_DEADLINE = 253_402_300_799.0  # Last second of the year 9999.

# Smallest and largest value by kind and field. The upper bounds only catch
# typing errors: they are far above what the target size needs.
RANGES: dict[str, dict[str, tuple[float, float]]] = {
    "services": {
        "slots": (1, 100_000),
        "connections": (1, 1_000_000),
        "retry_ratio": (0.0, 1.0),
    },
    "routes": {"timeout_ms": (1, 86_400_000)},
    "classes": {
        "priority": (0, 1_000),
        "max_share": (0.01, 1.0),
        "queue_limit": (0, 100_000),
        "queue_timeout_ms": (0, 3_600_000),
    },
    "moves": {
        "deadline": (0.0, LATEST_DEADLINE),
        "min_dwell_s": (0.0, 604_800.0),
        "watch_s": (0.0, 604_800.0),
    },
}


def _check_kind(
    kind: str, objects: Mapping[str, msgspec.Struct]
) -> Iterator[ValidationProblem]:
    for name in sorted(objects):
        for field, (low, high) in RANGES[kind].items():
            value = getattr(objects[name], field)
            if not low <= value <= high:  # Also true for a NaN.
                yield ValidationProblem(
                    ProblemKind.OUT_OF_RANGE,
                    f"{kind}.{name}.{field}",
                    repr(value),
                    f"{low} to {high}",
                )


@validation_rules.register("range")
def check_ranges(
    configuration: Configuration, ended_moves: Set[str]
) -> Iterator[ValidationProblem]:
    """Every number is finite and in its range."""
    for kind in RANGES:
        yield from _check_kind(kind, getattr(configuration, kind))
