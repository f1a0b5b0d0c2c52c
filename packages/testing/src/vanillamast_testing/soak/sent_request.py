"""A request of a caller and its answer."""

import dataclasses

from vanillamast_testing.emulator import CallerAnswer


@dataclasses.dataclass(slots=True, frozen=True)
class SentRequest:
    """A request that a caller sent to the node on its machine.

    Attributes:
      machine: Name of the machine.
      method: Method; posts may run once only.
      path: Path, different for each request.
      started_at: When it was sent, in monotonic seconds.
      ended_at: When its answer was complete, or the connection ended.
      answer: What the caller got.
    """

    machine: str
    method: str
    path: str
    started_at: float
    ended_at: float
    answer: CallerAnswer
