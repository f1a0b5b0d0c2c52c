"""Responses of the node itself when no backend server answered."""

import dataclasses

import msgspec

from vanillamast_core.registry import Registry


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """The node's response to a request that no backend server answered.

    Attributes:
      kind: Name of the kind.
      status: HTTP status.
      not_run: Whether it is certain that no backend server ran the request.
      retry_after_s: Seconds after which to retry, as a hint; 0 for none.
      detail: Explanation for the caller's operator.
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


def _register(
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
    registered = refusals.get(kind)
    if not detail and not status:
        return registered
    return dataclasses.replace(
        registered,
        detail=detail or registered.detail,
        status=status or registered.status,
    )


_register("bad_request", 400, "the request is malformed")
_register("no_route", 404, "no route matches the path")
_register("method_not_allowed", 405, "the path has no route for the method")
_register("body_too_large", 413, "the request body is over the limit")
_register("header_too_large", 431, "the request header is over the limit")
_register("version_not_supported", 505, "the node answers HTTP/1.1 only")
_register(
    "no_configuration", 503, "the node has no configuration", retry_after_s=1.0
)
_register("no_server", 503, "no backend server is usable", retry_after_s=1.0)
_register("overloaded", 503, "the request cannot start in time", True, 1.0)
_register("queue_timeout", 503, "the request waited too long", True, 1.0)
_register("stopping", 503, "the node stops before the deadline", True, 1.0)
_register("shed", 503, "the backend server shed the request", True, 1.0)
_register("connect_failed", 502, "no connection to a backend server", True, 1.0)
_register("deadline_exceeded", 504, "the deadline passed before the start")
_register(
    "outcome_unclear",
    502,
    "whether the request ran cannot be told",
    not_run=False,
)
_register("internal_error", 500, "the node failed", not_run=False)
# The three kinds below never have not_run set: an earlier request with the
# same key may have run.
_register(
    "key_running",
    409,
    "a request with this key is running",
    not_run=False,
    retry_after_s=1.0,
)
_register("key_ran", 409, "a request with this key ran", not_run=False)
_register(
    "key_unclear",
    503,
    "whether a request with this key ran cannot be told",
    not_run=False,
)
