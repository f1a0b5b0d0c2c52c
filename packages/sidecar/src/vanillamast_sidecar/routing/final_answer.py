"""What a caller gets in the end."""

import enum

from vanillamast_sidecar.admission.call_result import CallResult
from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.admission.response_kind import ResponseKind


class FinalAnswer(enum.Enum):
    """Kinds of final answers.

    Attributes:
      SERVER: The response of a server, unchanged.
      NOT_RUN: This node's own, which says that the request has not run.
      FAILED: This node's own, which leaves open whether it has run.
      EXPIRED: The same, as the time is over.
    """

    SERVER = "server"
    NOT_RUN = "not_run"
    FAILED = "failed"
    EXPIRED = "expired"


def choose_final_answer(
    answer: CallResult | None,
    last: CallResult | None,
    may_have_run: bool,
    idempotent: bool,
) -> FinalAnswer:
    """Returns what the caller of a request gets.

    Callers take some statuses for a promise that the request has not run. It
    is given only if no attempt may have run. A caller that must not repeat a
    request therefore does not get such a status from a server that may have
    run it. One that may repeat it gets the server's own response: it says most
    of when and whether to repeat.

    Args:
      answer: The attempt whose response may be passed on, None without one.
      last: The last attempt, None without one.
      may_have_run: Whether any attempt may have run.
      idempotent: Whether the request may run more than once.
    """
    if answer is not None:
        if answer.kind is not ResponseKind.UNCONFIRMED or idempotent:
            return FinalAnswer.SERVER
        return FinalAnswer.FAILED
    if not may_have_run:
        return FinalAnswer.NOT_RUN
    if last is not None and last.outcome is Outcome.EXPIRED:
        return FinalAnswer.EXPIRED
    return FinalAnswer.FAILED
