"""Formats the results of trials as a table."""

import statistics
from collections.abc import Iterable

from vanillamast_testing.bench_moves.trial import Result

HEADER = (
    f"{'deployment':<10} {'condition':<22} {'policy':<13} {'n':>3} "
    f"{'taken back':>10} {'done in time':>12} {'done s':>7} "
    f"{'exposed % med':>13} {'max':>7} {'harmed':>7} {'react s':>8} {'max':>6}"
)


def summarize(results: Iterable[Result]) -> list[str]:
    """Returns the lines of a table with a line for each combination."""
    groups: dict[tuple[str, str, str], list[Result]] = {}
    for result in results:
        key = (result.deployment, result.condition, result.policy)
        groups.setdefault(key, []).append(result)
    return [HEADER, *(format_line(*key, groups[key]) for key in sorted(groups))]


def format_line(
    deployment: str, condition: str, policy: str, group: list[Result]
) -> str:
    """Returns the table line of one combination."""
    back = sum(result.back_s is not None for result in group)
    in_time = sum(result.in_time for result in group)
    done = [result.done_s for result in group if result.done_s is not None]
    exposure = [100.0 * result.exposure for result in group]
    harmed = statistics.median(result.harmed for result in group)
    reaction = [r.reaction_s for r in group if r.reaction_s is not None]
    return (
        f"{deployment:<10} {condition:<22} {policy:<13} {len(group):>3} "
        f"{back:>10} {in_time:>12} {format_median(done):>7} "
        f"{statistics.median(exposure):>13.3f} {max(exposure):>7.3f} "
        f"{harmed:>7.0f} {format_median(reaction):>8} "
        f"{max(reaction, default=0.0):>6.0f}"
    )


def format_median(values: list[float]) -> str:
    """Returns the median, "-" if there are no values."""
    return f"{statistics.median(values):.0f}" if values else "-"
