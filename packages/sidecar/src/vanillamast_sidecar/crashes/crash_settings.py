"""Settings of the protection against requests that end their servers."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class CrashSettings:
    """When a request is suspected, held and tried again.

    Attributes:
      max_ends: Servers that may end under a request before it is held.
      hold_s: How long it is held, in seconds; doubled with each further end.
      max_hold_s: Longest hold, in seconds.
      memory_s: Time without an end after which it is forgotten, in seconds;
        at least `max_hold_s`.
      spare_servers: Ready servers that must remain besides the one that a
        request with one end less than `max_ends` is sent to.
      max_suspects: Most requests that are remembered, the newest ones.
      max_answered: Most answered requests that are remembered.
    """

    max_ends: int = 3
    hold_s: float = 30.0
    max_hold_s: float = 600.0
    memory_s: float = 900.0
    spare_servers: int = 1
    max_suspects: int = 4096
    max_answered: int = 1024
