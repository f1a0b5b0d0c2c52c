"""Settings of the request path."""

import msgspec


class RequestSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits and time constants of routing, admission and retries.

    Attributes:
      policy: Name of the balancing policy.
      slow_start_s: Time after which a backend server that just began to serve
        gets its full share.
      slow_start_floor: Share that it gets at the start of that time.
      overflow_at: Utilization of this node's failure domain, 0 to 1, above
        which other failure domains receive a share.
      load_half_life_s: Half-life of a reported load's weight.
      ejection_failures: Consecutive failures that eject a backend server.
      ejection_s: Duration of the first ejection; doubles with each further
        one.
      ejection_max_s: Upper bound of the duration of an ejection.
      ejection_share: Largest share of a version's servers ejected at once.
      timeout_blame_s: A timeout counts as a failure of the backend server
        only if the attempt lasted at least this long, so that a caller with
        a very short deadline cannot eject servers.
      shed_factor: Factor on a server's concurrency limit when it sheds load.
      limit_growth: Upper bound of a server's concurrency limit as a multiple
        of its slots.
      retry_floor_per_s: Retries per second that the budget always allows.
      retry_burst: Capacity of the budget, in retries.
      attempt_share: Share of the remaining time after which an idempotent
        attempt without response headers is repeated on another server.
      max_attempts: Most attempts for one request, including the first.
      retry_after_s: Hint, in refusals that may succeed later, when to retry.
      key_retention_s: Time for which a key is kept after it was granted or
        settled.
      key_capacity: Most keys that one node keeps.
      key_hold_s: Longest partition during which a request with a key runs at
        most once. For this time and `key_margin_s`, a node refuses the keys
        that it takes over from a lost instance.
      key_margin_s: Time by which the time in a UUIDv7 must be later than the
        takeover. Covers clock differences and the time in which other nodes
        may still use the previous home node.
    """

    policy: str = "power_of_two"
    slow_start_s: float = 10.0
    slow_start_floor: float = 0.1
    overflow_at: float = 0.7
    load_half_life_s: float = 2.0
    ejection_failures: int = 5
    ejection_s: float = 1.0
    ejection_max_s: float = 30.0
    ejection_share: float = 0.3
    timeout_blame_s: float = 0.25
    shed_factor: float = 0.7
    limit_growth: float = 2.0
    retry_floor_per_s: float = 1.0
    retry_burst: float = 10.0
    attempt_share: float = 0.5
    max_attempts: int = 3
    retry_after_s: float = 1.0
    key_retention_s: float = 600.0
    key_capacity: int = 20_000
    key_hold_s: float = 60.0
    key_margin_s: float = 15.0
