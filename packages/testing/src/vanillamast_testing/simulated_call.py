"""A request on a node of the in-memory network."""

import dataclasses
from collections.abc import Callable

from vanillamast_core.requests import Exchange, Refusal

from vanillamast_testing.simulated_backend import BackendAnswer


@dataclasses.dataclass(slots=True)
class CallResult:
    """The node's answer to the caller.

    Attributes:
      refusal: The refusal, None if a backend server answered.
      answer: The backend server's answer, None if the connection ended
        without one.
      whole: Whether the answer's body was passed on to its end.
    """

    refusal: Refusal | None = None
    answer: BackendAnswer | None = None
    whole: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class SimulatedCall:
    """A request with its state machine.

    Attributes:
      request_id: The caller's id.
      path: Path of the request.
      exchange: The request's state machine.
      done: Called once with the result.
      claim_id: Id of the claim of the request's key.
      answer: Answer that is being passed on.
    """

    request_id: str
    path: str
    exchange: Exchange
    done: Callable[[CallResult], None]
    claim_id: str = ""
    answer: BackendAnswer | None = None
