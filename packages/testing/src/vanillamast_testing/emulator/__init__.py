"""An emulator of the platform, for tests, the demo and experiments.

`EmulatedPlatform` runs the store, the backend servers and the real node
processes on loopback, with one address per machine, and speaks the platform's
published protocol to them.
"""

from vanillamast_testing.emulator.backend import Backend
from vanillamast_testing.emulator.caller import Caller, CallerAnswer
from vanillamast_testing.emulator.machine import Machine
from vanillamast_testing.emulator.operator import Operator
from vanillamast_testing.emulator.platform import EmulatedPlatform
from vanillamast_testing.emulator.store import EmulatedStore

__all__ = [
    "Backend",
    "Caller",
    "CallerAnswer",
    "EmulatedPlatform",
    "EmulatedStore",
    "Machine",
    "Operator",
]
