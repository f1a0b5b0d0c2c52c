"""Outcome of one request of the load generator."""

import msgspec


class RequestRecord(msgspec.Struct):
    """One request as its caller saw it.

    Attributes:
      request_id: Its `x-request-id`, the same for all repeats.
      method: GET or POST.
      path: Its path.
      target: "ip:port" of the node that was asked last.
      sent_at_s: Seconds from the start of the load.
      key: Its `Idempotency-Key`, "" for reads.
      attempts: How often the caller sent it.
      status: Status of the last answer, 0 without one.
      refusal: Kind of the refusal, "" if the backend server answered.
      not_run: What the refusal says about execution; None without refusal.
      latency_ms: From the scheduled time of sending to the end.
      whole: Whether the body is complete and belongs to this request.
      version: Version of the backend server that answered.
      error: Failure of the connection, "" without one.
    """

    request_id: str
    method: str
    path: str
    target: str
    sent_at_s: float
    key: str = ""
    attempts: int = 0
    status: int = 0
    refusal: str = ""
    not_run: bool | None = None
    latency_ms: float = 0.0
    whole: bool = False
    version: str = ""
    error: str = ""

    @property
    def served(self) -> bool:
        """Whether a backend server answered with success."""
        return 200 <= self.status < 300 and self.whole

    @property
    def outcome_known(self) -> bool:
        """Whether the caller knows if the request was executed."""
        return self.not_run is True or self.served

    @property
    def cut_off(self) -> bool:
        """Whether an answer with success began but is not whole."""
        return 200 <= self.status < 300 and not self.whole
