"""Messages between nodes.

They travel as msgpack arrays: the order of fields and the tags are the wire
format, names are not.
"""

import msgspec

from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.admission.reason import Reason
from vanillamast_sidecar.crashes.server_end import ServerEnd
from vanillamast_sidecar.membership.load_report import LoadReport
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.operator_state.evacuation import Evacuation
from vanillamast_sidecar.rollouts.move_status import MoveStatus
from vanillamast_sidecar.rollouts.version_evidence import VersionEvidence
from vanillamast_sidecar.usage.usage_counts import UsageCounts
from vanillamast_sidecar.usage.usage_shares import UsageShares

# Tags of the messages that carry requests and responses.
CALL_TAG = 5
REPLY_TAG = 7
CONFIRM_TAG = 15


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Base of all messages."""


class Hello(Message, tag=1, frozen=True):
    """First message of the node that connects.

    Attributes:
      record: Record of the connecting node.
      wants_nodes: Whether it asks for the known nodes, as it could not read
        the list of nodes from the store.
    """

    record: NodeRecord
    wants_nodes: bool


class Welcome(Message, tag=2, frozen=True):
    """Answer to a hello.

    Attributes:
      record: Record of the answering node.
      others: Records of the nodes that it knows, if asked for, and its last
        record of an earlier incarnation of the connecting node.
      move_statuses: Status of each move that it knows.
      load: Load of its backend server.
    """

    record: NodeRecord
    others: list[NodeRecord]
    move_statuses: list[MoveStatus]
    load: LoadReport


class Records(Message, tag=3, frozen=True):
    """Records of nodes, from the nodes themselves or passed on by a hub.

    Attributes:
      records: The records.
      server_ends: Servers that have ended; each is passed on once.
    """

    records: list[NodeRecord]
    server_ends: list[ServerEnd] = []


class NodeHeartbeat(Message, tag=4, frozen=True):
    """Heartbeat of a node to a hub of its failure domain.

    The hub sends its reports to the nodes that send it heartbeats.

    Attributes:
      load: Load of the sender's backend server.
      config_version: Version of the sender's configuration.
      operator_offset: Offset up to which it has read the operator's stream.
      store_age_s: Time since the store last answered its reads of that stream,
        or more if other nodes must not rely on it; None if it is no reader.
      operator_era: Era of the store that the offset belongs to.
      usage: Counts of organisations with a usage cap that have changed since
        the sender's last heartbeat to this hub; None without any.
    """

    load: LoadReport
    config_version: int
    operator_offset: int
    store_age_s: float | None
    operator_era: int = 0
    usage: UsageCounts | None = None


class Call(Message, tag=CALL_TAG, frozen=True):
    """A request for the receiver's local server.

    Attributes:
      id: Id of the call on this connection.
      sent_s: Time of sending by the sender's monotonic clock.
      remaining_s: Time from sending to the deadline.
      due_s: Time to the soft deadline.
      request_id: Id of the caller's attempt.
      instance_id: Id of the server.
      born_ms: Incarnation of the server.
      route: Name of the route.
      rank: Rank among waiting requests; the lowest one runs first.
      idempotent: Whether it may run more than once.
      method: HTTP method.
      target: Request target.
      headers: Header fields to forward.
      body: Body of the request; empty if the call is not idempotent, as its
        confirmation carries the body.
      organisation: Name of the organisation that sent it, "" without one.
      may_wait: Whether it may wait for a slot; else it is refused without one.
      body_bytes: Size of the body that its confirmation carries.
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
    organisation: str = ""
    may_wait: bool = True
    body_bytes: int = 0


class CallOutline(msgspec.Struct, array_like=True, frozen=True, tag=CALL_TAG):
    """A call of which only the size is decoded.

    Its fields are those of `Call`, in the same order. The encoded ones refer to
    the received bytes.
    """

    id: int
    sent_s: msgspec.Raw
    remaining_s: msgspec.Raw
    due_s: msgspec.Raw
    request_id: msgspec.Raw
    instance_id: msgspec.Raw
    born_ms: msgspec.Raw
    route: msgspec.Raw
    rank: msgspec.Raw
    idempotent: msgspec.Raw
    method: msgspec.Raw
    target: msgspec.Raw
    headers: msgspec.Raw
    body: msgspec.Raw
    organisation: msgspec.Raw = msgspec.Raw()
    may_wait: msgspec.Raw = msgspec.Raw()
    body_bytes: int = 0


class Cancel(Message, tag=6, frozen=True):
    """The sender no longer waits for a call.

    Attributes:
      id: Id of the call.
    """

    id: int


class Reply(Message, tag=REPLY_TAG, frozen=True):
    """Result of a call.

    Attributes:
      id: Id of the call.
      outcome: Whether the server answered, did not run the request, or may
        have run it.
      reason: Why there is no response of the server.
      sent_to_server: Whether the request was sent to the server.
      retry_after_s: Expected wait for a slot.
      load: Load of the server.
      status: Status code of the response, 0 without one.
      phrase: Reason phrase of the response.
      headers: Header fields of the response.
      body: Body of the response.
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
    """Asks the receiver for a pong on this connection."""


class Pong(Message, tag=9, frozen=True):
    """Answer to a ping."""


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
      era: Era of the store that the move id belongs to.
    """

    service: str
    move_id: int
    evidence: VersionEvidence
    era: int = 0


class FetchOperator(Message, tag=12, frozen=True):
    """Asks for the newest state that the operator has published."""


class OperatorState(Message, tag=13, frozen=True):
    """The newest state that the operator has published.

    Evacuations that are new to a node are also sent alone, without a
    configuration and with the offset 0, to the nodes to which it is a hub and
    from hub to hub.

    Attributes:
      offset: Offset up to which the sender has read the operator's stream.
      config: Newest configuration, compressed; empty if unknown.
      move_specs: Newest move specs: service, version, seconds, move id.
      move_statuses: Status of each move that the sender knows.
      evacuations: Newest record on the evacuation of each failure domain;
        None from nodes that do not know of evacuations.
      era: Era of the store that the offset belongs to.
      move_eras: Era of each move spec's id, in the order of the specs; empty
        if all are of era 0.
    """

    offset: int
    config: bytes
    move_specs: list[tuple[str, str, float, int]]
    move_statuses: list[MoveStatus]
    evacuations: list[Evacuation] | None = None
    era: int = 0
    move_eras: list[int] = []


class SlotGranted(Message, tag=14, frozen=True):
    """A call that is not idempotent has a slot and waits for confirmation.

    Attributes:
      id: Id of the call.
    """

    id: int


class Confirm(Message, tag=CONFIRM_TAG, frozen=True):
    """Confirmation that the sender of a call with a slot still wants it.

    Without this message the call never runs. A sender that has not sent it
    therefore knows that the request did not run, and a refused call does not
    transfer its body.

    Attributes:
      id: Id of the call.
      body: Body of the request.
    """

    id: int
    body: bytes


class VersionReport(msgspec.Struct, array_like=True, frozen=True):
    """What a node has applied of the operator's state.

    Attributes:
      address: Address of the node.
      config_version: Version of its configuration, -1 without one.
      operator_offset: Offset up to which it has read the operator's stream.
      store_age_s: Time since the store last answered its reads of that stream,
        or more if other nodes must not rely on it; None if it is no reader.
      operator_era: Era of the store that the offset belongs to.
    """

    address: str
    config_version: int
    operator_offset: int
    store_age_s: float | None
    operator_era: int = 0


class HubReport(Message, tag=16, frozen=True):
    """State of a failure domain, from one of its hubs to its nodes.

    Attributes:
      names: Numbers of nodes in `loads` with their addresses: those that are
        new since the last report, all in the first report to a node.
      loads: Number and load of each node whose load has changed since the
        last report; all in the first report to a node.
      silent: Addresses of nodes that no hub of their failure domain hears.
      lost_domains: Failure domains that the hub cannot reach.
      versions: Versions of the hub and of the nodes that read the store.
      digest: Digest of the hub's records; 0 if the report has none.
      usage: Shares of the organisations that ask for more than their cap;
        None if no organisation has a cap.
    """

    names: list[tuple[int, str]]
    loads: list[tuple[int, LoadReport]]
    silent: list[str]
    lost_domains: list[str]
    versions: list[VersionReport]
    digest: int
    usage: UsageShares | None = None


class DomainStatus(Message, tag=17, frozen=True):
    """State of a failure domain, from one of its hubs to other domains' hubs.

    Attributes:
      silent: Addresses of its nodes that the hub does not hear.
      digest: Digest of the hub's records.
      config_version: Version of the hub's configuration, -1 without one.
      operator_offset: Offset up to which it has read the operator's stream.
      operator_era: Era of the store that the offset belongs to.
    """

    silent: list[str]
    digest: int
    config_version: int = -1
    operator_offset: int = 0
    operator_era: int = 0


class FetchRecords(Message, tag=18, frozen=True):
    """Asks for all records that the receiver has."""


class DomainUsage(Message, tag=19, frozen=True):
    """Usage of a failure domain, from one of its hubs to other domains' hubs.

    It is sent only while organisations with a usage cap are active.

    Attributes:
      counts: Sums over its nodes since the hub started.
    """

    counts: UsageCounts


AnyMessage = (
    Hello
    | Welcome
    | Records
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
    | HubReport
    | DomainStatus
    | FetchRecords
    | DomainUsage
)
