"""Faults of a fake backend server, and when they apply."""

from collections.abc import Callable
from typing import Annotated

import msgspec
from vanillamast_core import Registry, UnknownEntryError, VanillamastError

LOADED_SHARE = 0.5  # "Under load" means that more slots than this are busy.

NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class BadnessError(VanillamastError):
    """A badness is malformed or of an unknown kind."""


class Fault(msgspec.Struct, frozen=True):
    """The effect of a badness on one request.

    Attributes:
      delay_s: Delay added to the work.
      status: Status of the answer.
      cut: Whether the answer's body is cut off in the middle.
    """

    delay_s: float = 0.0
    status: int = 200
    cut: bool = False


NO_FAULT = Fault()


class Badness(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault of a backend server version.

    Attributes:
      kind: Name in `badness_kinds`.
      share: Share of the requests that are affected.
      delay_ms: Added latency of the slow kinds.
      after_s: Seconds until it begins, from the time it is set.
      under_load: Whether only requests are affected that arrive while more
        than half of the slots are busy.
      prefix: Only requests whose path starts with this are affected.
    """

    kind: str = "none"
    share: Share = 1.0
    delay_ms: NonNegative = 500.0
    after_s: NonNegative = 0.0
    under_load: bool = False
    prefix: str = "/"

    def affects(self, path: str, age_s: float, busy: float) -> bool:
        """Returns whether a request meets the conditions.

        Args:
          path: The request's path.
          age_s: Seconds since the badness was set.
          busy: Share of the slots that are busy, this request included.
        """
        return (
            path.startswith(self.prefix)
            and age_s >= self.after_s
            and (busy > LOADED_SHARE or not self.under_load)
        )

    def fault(self) -> Fault:
        """Returns the effect on an affected request."""
        return badness_kinds.get(self.kind)(self)


Kind = Callable[[Badness], Fault]
badness_kinds: Registry[Kind] = Registry("badness")


@badness_kinds.register("none")
def no_fault(badness: Badness) -> Fault:
    """Does not affect requests."""
    return NO_FAULT


@badness_kinds.register("fails")
def fail(badness: Badness) -> Fault:
    """Answers with 500 after the work was done."""
    return Fault(status=500)


@badness_kinds.register("slow")
def slow(badness: Badness) -> Fault:
    """Answers correctly, but late."""
    return Fault(delay_s=badness.delay_ms / 1000)


@badness_kinds.register("fails_slowly")
def fail_slowly(badness: Badness) -> Fault:
    """Answers with 500, and late."""
    return Fault(delay_s=badness.delay_ms / 1000, status=500)


@badness_kinds.register("cut")
def cut(badness: Badness) -> Fault:
    """Closes the connection in the middle of the body."""
    return Fault(cut=True)


def decode_badness(data: bytes) -> Badness:
    """Returns the badness that a JSON object describes.

    Raises:
      BadnessError: It is malformed or of an unknown kind.
    """
    try:
        badness = msgspec.json.decode(data, type=Badness)
        badness.fault()
    except (msgspec.MsgspecError, UnknownEntryError) as error:
        raise BadnessError(str(error)) from error
    return badness
