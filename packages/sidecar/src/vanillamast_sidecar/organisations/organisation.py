"""An organisation whose callers send requests."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """An organisation, as the configuration defines it.

    Attributes:
      name: Name of the organisation.
      api_keys: Keys that its callers present; not shown in logs and errors.
      priority: Priority of its requests, 0 being the most urgent; None if the
        priority of the route decides.
      rate_per_s: Requests a second that it may use over the whole fleet; 0
        without a limit.
      burst: Requests that it may use at once in addition.
    """

    name: str
    api_keys: tuple[str, ...] = dataclasses.field(repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def has_usage_cap(self) -> bool:
        """Returns whether its requests are limited."""
        return self.rate_per_s > 0.0
