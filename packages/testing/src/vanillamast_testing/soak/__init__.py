"""A soak of real nodes on the emulated platform.

Signals, restarts, rate limits, leaving servers and changes come in overlapping
series while callers go on to send. `soak_checks` then compares what callers and
servers have seen with what the product promises.
"""

from vanillamast_testing.soak.disturbance import Disturbance
from vanillamast_testing.soak.limit_period import LimitPeriod
from vanillamast_testing.soak.sent_request import SentRequest
from vanillamast_testing.soak.soak import Soak
from vanillamast_testing.soak.soak_checks import find_violations
from vanillamast_testing.soak.soak_record import SoakRecord
from vanillamast_testing.soak.soak_settings import SoakSettings

__all__ = [
    "Disturbance",
    "LimitPeriod",
    "SentRequest",
    "Soak",
    "SoakRecord",
    "SoakSettings",
    "find_violations",
]
