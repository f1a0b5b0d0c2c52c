"""Settings of the verdicts on new versions."""

import msgspec


class JudgeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How much evidence a verdict takes.

    Attributes:
      alpha: Probability that a version as good as the old one is ever rolled
        back, over all judges together.
      judges: Judges that test one move: one for each failure domain and the
        driver's. Each tests at the level alpha / judges.
      bucket_s: Length of a bucket of wall time.
      settle_s: Time after the end of a bucket until its evidence is used.
      late_s: Time after the end of a bucket for which a stratum without both
        versions waits for late cells.
      dead_window_s: Time for which connect failures can still be excluded
        because their instance is found dead; membership needs up to 10 s.
      slow_quantile: Quantile of the old version's latency above which a
        response is slow.
      min_latencies: Responses of the old version that a slow threshold needs.
      clear_level: e-value at which noninferiority is shown.
      clear_ratio: Rate ratio that the noninferiority test rejects.
      clear_failure_ratio: Failure ratio that requests without bad outcomes
        reject.
      sole_requests: Requests of the new version before an instance counts as
        its only one, if the number of instances is not known.
      done_floor: Failure ratio that is always tolerated after share 1.
      done_factor: Multiple of the old version's worst recent failure ratio
        that is tolerated after share 1.
      done_slow_factor: Multiple of the old version's 90th percentile latency
        above which a response is slow after share 1.
      done_slow_share: Share of such responses that is tolerated.
      done_buckets: Minimum number of buckets that a verdict after share 1
        takes, so that one short general disturbance is not enough.
      history_s: Time over which the old version's baseline is taken.
      max_moves: Moves whose evidence is kept.
      max_routes: Routes of a move that are tested separately.
      max_domains: Failure domains of servers that are told apart.
      max_instances: Instances of a move that are told apart.
      max_strata: Open strata of a move.
    """

    alpha: float = 0.001
    judges: int = 9
    bucket_s: float = 2.0
    settle_s: float = 2.0
    late_s: float = 20.0
    dead_window_s: float = 14.0
    slow_quantile: float = 0.9
    min_latencies: int = 50
    clear_level: float = 20.0
    clear_ratio: float = 2.0
    clear_failure_ratio: float = 0.02
    sole_requests: int = 20
    done_floor: float = 0.01
    done_factor: float = 1.5
    done_slow_factor: float = 2.0
    done_slow_share: float = 0.2
    done_buckets: int = 3
    history_s: float = 300.0
    max_moves: int = 64
    max_routes: int = 16
    max_domains: int = 16
    max_instances: int = 8
    max_strata: int = 512

    @property
    def rejection_threshold(self) -> float:
        """The e-value at which the new version is judged a regression."""
        return self.judges / self.alpha
