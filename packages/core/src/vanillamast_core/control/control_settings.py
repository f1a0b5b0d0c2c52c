"""Settings of a node's control plane."""

from typing import Annotated

import msgspec

Seconds = Annotated[float, msgspec.Meta(gt=0.0, le=3600.0)]


class ControlSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Periods and timeouts of the control plane.

    Attributes:
      server_lease_s: Time without a renewal after which the backend server
        counts as stopped.
      evidence_period_s: Time between two summaries of request outcomes.
      beacon_period_s: Time between two checks whether the failure domain's
        beacon is out of date.
      drive_period_s: Time between two decisions of a move's driver.
      append_patience_s: Time after which an unconfirmed append is given up.
    """

    server_lease_s: Seconds = 3.0
    evidence_period_s: Seconds = 2.0
    beacon_period_s: Seconds = 30.0
    drive_period_s: Seconds = 1.0
    append_patience_s: Seconds = 30.0
