"""How fast a backend server works now, compared with its usual speed."""

import math

# Weight of the newest statement in a moving mean over about 50 responses.
NEWEST_WEIGHT = 0.02
# Half-life of a statement: neighbours on a machine change many times a second.
PACE_HALF_LIFE_S = 0.3


class PaceTracker:
    """Follows the pace that a server states in its responses.

    Durations of past requests contain the mean pace. The factor relates the
    newest statement to that mean, and falls back to 1 as the statement ages.

    Attributes:
      mean: Mean of the stated paces, in percent; 0 before the first one.
      newest: Newest statement, in percent; 0 before the first one.
      stated_at: When it arrived, in loop time.
    """

    def __init__(self) -> None:
        self.mean = 0.0
        self.newest = 0
        self.stated_at = -math.inf

    def add(self, pace: int, now: float) -> None:
        """Adds a statement; a response without one changes nothing."""
        if pace <= 0:
            return
        if not self.mean:
            self.mean = float(pace)
        self.mean += (pace - self.mean) * NEWEST_WEIGHT
        self.newest = pace
        self.stated_at = now

    def factor(self, now: float) -> float:
        """Returns how long work takes now, as a multiple of the mean."""
        if not self.mean:
            return 1.0
        weight = math.exp2(-max(0.0, now - self.stated_at) / PACE_HALF_LIFE_S)
        return 1.0 + (self.newest / self.mean - 1.0) * weight
