"""Evidence that a new version is fit for a larger share."""

import math

from vanillamast_core.moves.judge_settings import JudgeSettings

# The alternative to "the failure ratio is clear_failure_ratio or more" is a
# tenth of it: a version as good as that clears in the fewest requests.
ALTERNATIVE_FACTOR = 0.1


class NoninferiorityTest:
    """Two e-processes for one kind, started anew at each step.

    The first refutes a rate ratio of `clear_ratio` or more against an equal
    rate, by the split of bad outcomes in each stratum. The second refutes a
    ratio of bad outcomes of `clear_failure_ratio` or more, by requests
    without bad outcomes; it works without traffic on the old version.

    Attributes:
      settings: The settings of the judge.
      log_relative: Logarithm of the first e-value.
      log_absolute: Logarithm of the second e-value.
    """

    __slots__ = ("log_absolute", "log_relative", "settings")

    def __init__(self, settings: JudgeSettings):
        self.settings = settings
        self.log_relative = 0.0
        self.log_absolute = 0.0

    def add_stratum(
        self, old_bad: int, old_total: int, new_bad: int, new_total: int
    ) -> None:
        """Adds the counts of one stratum."""
        high = self.settings.clear_failure_ratio
        low = high * ALTERNATIVE_FACTOR
        good = new_total - new_bad
        self.log_absolute += new_bad * math.log(low / high)
        self.log_absolute += good * math.log((1.0 - low) / (1.0 - high))
        if not old_total or not new_total:
            return
        ratio = self.settings.clear_ratio
        share = new_total / (old_total + new_total)
        bad = old_bad + new_bad
        self.log_relative += bad * math.log1p((ratio - 1.0) * share)
        self.log_relative -= new_bad * math.log(ratio)

    def e_value(self) -> float:
        """Returns the evidence that the version is fit."""
        relative = math.exp(min(self.log_relative, 50.0))
        return (relative + math.exp(min(self.log_absolute, 50.0))) / 2.0
