"""Test that a new version is not inferior to the old one."""

import math

from vanillamast_core.moves.judge_settings import JudgeSettings

# The alternative to "the failure ratio is at least clear_failure_ratio" is a
# tenth of it: a version with that ratio needs the fewest requests.
ALTERNATIVE_FACTOR = 0.1
MAX_LOG_E_VALUE = 50.0  # Keeps the e-value finite.


class NoninferiorityTest:
    """Noninferiority test for one kind of bad outcome at one step.

    It averages two e-processes. The first tests the null hypothesis that the
    rate ratio is at least `clear_ratio` against equal rates, by the split of
    bad outcomes in each stratum. The second tests the null hypothesis that the
    ratio of bad outcomes is at least `clear_failure_ratio`; it needs no
    traffic on the old version.

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
        """Returns the e-value of noninferiority."""
        relative = math.exp(min(self.log_relative, MAX_LOG_E_VALUE))
        absolute = math.exp(min(self.log_absolute, MAX_LOG_E_VALUE))
        return (relative + absolute) / 2.0
