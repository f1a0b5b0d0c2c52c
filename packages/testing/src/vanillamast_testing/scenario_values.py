"""Values that steps of a scenario pass to a target."""

import dataclasses

PLATFORM = "platform"  # Name of the platform in cuts.


@dataclasses.dataclass(frozen=True, slots=True)
class ScenarioInstance:
    """An instance to start: a node and its backend server.

    Attributes:
      name: SERVICE-vVERSION-NUMBER.
      service: Service of the backend server.
      version: Version of the backend server.
      failure_domain: Failure domain of the instance.
      edge: Whether the node accepts callers from outside the mesh.
    """

    name: str
    service: str
    version: str
    failure_domain: str
    edge: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ScenarioMove:
    """A move to start; the deadline is in seconds from now."""

    name: str
    service: str
    old: str
    new: str
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ScenarioTraffic:
    """Traffic to send; the target knows the paths of its routes.

    Attributes:
      rate: Requests a second.
      duration_s: Time for which requests are sent.
      post_share: Share of non-idempotent posts.
    """

    rate: float
    duration_s: float
    post_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """The instances that a step is about.

    Attributes:
      kind: "instance" or "domain".
      name: Name of the instance or of the failure domain.
    """

    kind: str
    name: str
