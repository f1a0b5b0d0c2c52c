"""Messages between nodes."""

import msgspec

from vanillamast_sidecar.load_report import LoadReport
from vanillamast_sidecar.move_status import MoveStatus
from vanillamast_sidecar.node_record import NodeRecord
from vanillamast_sidecar.outcome import Outcome
from vanillamast_sidecar.reason import Reason
from vanillamast_sidecar.version_evidence import VersionEvidence


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Base of all messages."""


class Hello(Message, tag=1, frozen=True):
    """First message of the node that connects.

    Attributes:
      record: The connecting node.
      wants_nodes: Whether it could not read the list of nodes.
    """

    record: NodeRecord
    wants_nodes: bool


class Welcome(Message, tag=2, frozen=True):
    """Answer to a hello.

    Attributes:
      record: The answering node.
      others: Nodes that it knows, if asked for, and what it remembers of
        the connecting node's earlier incarnation.
      move_statuses: Status of each move that it knows.
      load: Load of its backend server.
    """

    record: NodeRecord
    others: list[NodeRecord]
    move_statuses: list[MoveStatus]
    load: LoadReport


class Announce(Message, tag=3, frozen=True):
    """A change of the sending node.

    Attributes:
      record: The sending node.
    """

    record: NodeRecord


class NodeHeartbeat(Message, tag=4, frozen=True):
    """Sign of life within a failure domain.

    Attributes:
      load: Load of the sender's backend server.
      config_version: Version of the sender's configuration.
      operator_offset: How far it has read the operator's stream.
      store_age_s: Time since it last heard from the store, in seconds; None
        while it does not read the stream.
    """

    load: LoadReport
    config_version: int
    operator_offset: int
    store_age_s: float | None


class Call(Message, tag=5, frozen=True):
    """A request for the backend server beside the receiver.

    Attributes:
      id: Id of the call on this connection.
      sent_s: Sender's monotonic clock, in seconds.
      remaining_s: Time left from then on, in seconds.
      due_s: Time from then on in which it should have ended, in seconds.
      request_id: Id of the caller's attempt.
      instance_id: Id of the server.
      born_ms: Incarnation of the server.
      route: Name of the route.
      rank: Place among waiting requests, the lowest first.
      idempotent: Whether it may run more than once.
      method: Method.
      target: Request target.
      headers: Fields to forward.
      body: Body; a call that may not run twice brings it with its
        confirmation.
    """

    id: int
    sent_s: float
    remaining_s: float
    due_s: float
    request_id: bytes
    instance_id: str
    born_ms: int
    route: str
    rank: int
    idempotent: bool
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Cancel(Message, tag=6, frozen=True):
    """The sender no longer waits for a call.

    Attributes:
      id: Id of the call.
    """

    id: int


class Reply(Message, tag=7, frozen=True):
    """The end of a call.

    Attributes:
      id: Id of the call.
      outcome: Whether the server answered, ran it, or may have.
      reason: Why it did not answer.
      sent_to_server: Whether the request was sent to the server.
      retry_after_s: When a slot is expected, in seconds.
      load: Load of the server.
      status: Status of the answer, 0 without one.
      phrase: Reason phrase of the answer.
      headers: Fields of the answer.
      body: Body of the answer.
    """

    id: int
    outcome: Outcome
    reason: Reason
    sent_to_server: bool
    retry_after_s: float
    load: LoadReport
    status: int = 0
    phrase: bytes = b""
    headers: list[tuple[bytes, bytes]] = []
    body: bytes = b""


class Ping(Message, tag=8, frozen=True):
    """Asks for a sign of life on this connection."""


class Pong(Message, tag=9, frozen=True):
    """Answers a ping."""


class MoveAnnouncement(Message, tag=10, frozen=True):
    """Status of a move, from its driver.

    Attributes:
      status: State and share of the move.
    """

    status: MoveStatus


class Evidence(Message, tag=11, frozen=True):
    """Outcomes at the sender's backend server, for the driver of a move.

    Attributes:
      service: Service of the move.
      move_id: Id of the move.
      evidence: Cumulative outcomes.
    """

    service: str
    move_id: int
    evidence: VersionEvidence


class FetchOperator(Message, tag=12, frozen=True):
    """Asks for the newest that the operator has published."""


class OperatorState(Message, tag=13, frozen=True):
    """The newest that the operator has published.

    Attributes:
      offset: How far the sender has read.
      config: Newest configuration, compressed; empty if unknown.
      move_specs: Newest move specs: service, version, seconds, move id.
      move_statuses: Status of each move that the sender knows.
    """

    offset: int
    config: bytes
    move_specs: list[tuple[str, str, float, int]]
    move_statuses: list[MoveStatus]


class SlotGranted(Message, tag=14, frozen=True):
    """A call that may not run twice has a slot and waits for its sender.

    Attributes:
      id: Id of the call.
    """

    id: int


class Confirm(Message, tag=15, frozen=True):
    """The sender of a granted call still wants it.

    Without this message the call never runs, so that a sender that has not
    sent it can truthfully say so, and a refused call costs no body.

    Attributes:
      id: Id of the call.
      body: Body of the request.
    """

    id: int
    body: bytes


AnyMessage = (
    Hello
    | Welcome
    | Announce
    | NodeHeartbeat
    | Call
    | Cancel
    | Reply
    | Ping
    | Pong
    | MoveAnnouncement
    | Evidence
    | FetchOperator
    | OperatorState
    | SlotGranted
    | Confirm
)
