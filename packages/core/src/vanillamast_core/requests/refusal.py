"""Answers that the node gives instead of a backend server."""

import dataclasses

import msgspec

from vanillamast_core.registry import Registry


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """A request that was not answered by a backend server.

    Attributes:
      kind: Name of the kind.
      status: HTTP status.
      not_run: Whether it is certain that no backend server ran the request.
      retry_after_s: Hint when to try again, in seconds; 0 for no hint.
      detail: What happened, for the caller's operator.
    """

    kind: str
    status: int
    not_run: bool
    retry_after_s: float = 0.0
    detail: str = ""

    def body(self) -> bytes:
        """Returns the JSON body."""
        return msgspec.json.encode(
            {
                "kind": self.kind,
                "not_run": self.not_run,
                "retry_after_s": self.retry_after_s,
                "detail": self.detail,
            }
        )


refusals: Registry[Refusal] = Registry("refusal kind")


def _define(
    kind: str,
    status: int,
    detail: str,
    not_run: bool = True,
    retry_after_s: float = 0.0,
) -> Refusal:
    refusal = Refusal(kind, status, not_run, retry_after_s, detail)
    return refusals.register(kind)(refusal)


def make_refusal(kind: str, detail: str = "", status: int = 0) -> Refusal:
    """Returns a refusal of a registered kind.

    Args:
      kind: Name of the kind.
      detail: Replaces the kind's detail unless empty.
      status: Replaces the kind's HTTP status unless 0.

    Raises:
      UnknownEntryError: The kind is not registered.
    """
    known = refusals.get(kind)
    if not detail and not status:
        return known
    return dataclasses.replace(
        known, detail=detail or known.detail, status=status or known.status
    )


_define("bad_request", 400, "the request is malformed")
_define("no_route", 404, "no route matches the path")
_define("method_not_allowed", 405, "the path has no route for the method")
_define("body_too_large", 413, "the request body is over the limit")
_define("header_too_large", 431, "the request header is over the limit")
_define("version_not_supported", 505, "the node answers HTTP/1.1 only")
_define(
    "no_configuration", 503, "the node has no configuration", retry_after_s=1.0
)
_define("no_server", 503, "no backend server is usable", retry_after_s=1.0)
_define("overloaded", 503, "the request cannot start in time", True, 1.0)
_define("queue_timeout", 503, "the request waited too long", True, 1.0)
_define("shed", 503, "the backend server shed the request", True, 1.0)
_define("connect_failed", 502, "no connection to a backend server", True, 1.0)
_define("deadline_exceeded", 504, "the deadline passed before the start")
_define(
    "outcome_unclear",
    502,
    "whether the request ran cannot be told",
    not_run=False,
)
_define("internal_error", 500, "the node failed", not_run=False)
# The three kinds below never state not_run: an earlier request with the same
# key may have run.
_define(
    "key_running",
    409,
    "a request with this key is running",
    not_run=False,
    retry_after_s=1.0,
)
_define("key_ran", 409, "a request with this key ran", not_run=False)
_define(
    "key_unclear",
    503,
    "whether a request with this key ran cannot be told",
    not_run=False,
)
