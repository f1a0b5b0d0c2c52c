"""Verdicts of the judge on a new version."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class NoRegression:
    """The new version is shown to be noninferior to the old one.

    Attributes:
      e_value: Evidence against the new version.
    """

    e_value: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Undecided:
    """There is not enough evidence for either.

    Attributes:
      e_value: Evidence against the new version.
      route: Route with the most evidence, "" for all routes together.
      reason: Kind of bad outcome with the most evidence.
    """

    e_value: float = 1.0
    route: str = ""
    reason: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Regression:
    """The new version is worse than the old one.

    Attributes:
      reason: Kind of bad outcome that decided.
      route: Route that decided, "" for all routes together.
      e_value: Evidence against the new version.
    """

    reason: str
    route: str
    e_value: float

    def __str__(self) -> str:
        route = f"route {self.route}" if self.route else "all routes"
        return f"{self.reason} on {route}, e-value {self.e_value:.3g}"


Verdict = NoRegression | Undecided | Regression
