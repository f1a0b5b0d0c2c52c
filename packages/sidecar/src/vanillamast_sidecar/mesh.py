"""Connections between nodes and the messages that they exchange."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from vanillamast_sidecar.event_logger import EventLogger
from vanillamast_sidecar.instance_record import InstanceRecord
from vanillamast_sidecar.load_report import LoadReport
from vanillamast_sidecar.membership import Membership
from vanillamast_sidecar.messages import (
    Announce,
    AnyMessage,
    Evidence,
    FetchOperator,
    Hello,
    Message,
    MoveAnnouncement,
    NodeHeartbeat,
    OperatorState,
    Reply,
    Welcome,
)
from vanillamast_sidecar.metrics import Metrics
from vanillamast_sidecar.move_table import MoveTable
from vanillamast_sidecar.node_record import NodeRecord
from vanillamast_sidecar.peer import Peer
from vanillamast_sidecar.peer_link import PeerLink
from vanillamast_sidecar.peer_server import CallRunner, PeerServer
from vanillamast_sidecar.settings import Address, SidecarSettings

MAINTENANCE_INTERVAL_S = 0.1  # Also the interval of heartbeats.
# A same-domain node is unresponsive after four missed heartbeats.
HEARTBEAT_TIMEOUT_S = 0.45
# A cross-domain node with calls in flight is pinged after this time without
# a message, and is unresponsive if no message follows for as long again.
PING_TIMEOUT_S = 0.25
MIN_RECONNECT_DELAY_S = 0.2
# Bounds how long a node that is reachable again goes unnoticed.
MAX_RECONNECT_DELAY_S = 1.5
# A node that is unreachable for this long is removed from the membership; it
# announces itself when it returns.
REMOVE_AFTER_S = 90.0


class Mesh:
    """Maintains a connection to every other node.

    A node sends its own calls and announcements on the connections that it
    opened, and answers calls on those that other nodes opened.

    Attributes:
      settings: Settings of the node.
      membership: Known nodes and their servers.
      moves: Moves of traffic between server versions.
      run_call: Runs a call on the local server.
      get_load: Returns the load of the local server.
      log: Event logger.
      metrics: Metrics.
      on_previous_record: Handles a record of this node's previous process.
      on_evidence: Handles evidence on a move, with the sender's address.
      on_heartbeat: Handles the heartbeat of a same-domain node.
      on_operator_state: Handles the operator's state as another node has it.
      get_operator_state: Returns the operator's state as this node has it.
      inbound: Connections that other nodes opened.
      wants_nodes: Whether the list of nodes has not been read yet.
      config_version: Version of the node's configuration, -1 without one.
      operator_offset: Offset up to which the node has read the operator's
        stream.
      store_contact_at: When the node last received a response of the store,
        in loop time; None while it does not read the operator's stream.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        record: NodeRecord,
        moves: MoveTable,
        run_call: CallRunner,
        get_load: Callable[[], LoadReport],
        log: EventLogger,
        metrics: Metrics,
    ):
        self.settings = settings
        self.membership = Membership(record)
        self.moves = moves
        self.run_call = run_call
        self.get_load = get_load
        self.log = log
        self.metrics = metrics
        self.on_previous_record: Callable[[InstanceRecord], None] = lambda _: (
            None
        )
        self.on_evidence: Callable[[str, Evidence], None] = lambda *_: None
        self.on_heartbeat: Callable[[Peer, NodeHeartbeat], None] = lambda *_: (
            None
        )
        self.on_operator_state: Callable[[OperatorState], None] = lambda _: None
        self.get_operator_state: Callable[[], OperatorState | None] = lambda: (
            None
        )
        self.loop = asyncio.get_running_loop()
        self.inbound: set[PeerServer] = set()
        self.wants_nodes = True
        self.config_version = -1
        self.operator_offset = 0
        self.store_contact_at: float | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: Address) -> asyncio.Server:
        """Starts to accept connections of other nodes."""
        return await self.loop.create_server(
            lambda: PeerServer(
                self.run_call,
                self.get_load,
                self._handle_inbound_message,
                self.inbound.discard,
            ),
            address.host,
            address.port,
            backlog=512,
        )

    # This node's own record.

    def announce(
        self, instance: InstanceRecord | None, stopping: bool
    ) -> NodeRecord:
        """Announces a change of this node or its server to all nodes."""
        own = self.membership.own.record
        record = msgspec.structs.replace(
            own,
            revision=own.revision + 1,
            stopping=stopping,
            instance=instance,
        )
        self.membership.set_own(record)
        self.broadcast(Announce(record))
        return record

    def broadcast(self, message: Message) -> None:
        """Sends a message to all connected nodes."""
        for peer in self.membership.other_peers():
            if peer.link is not None:
                peer.link.send(message)

    def send(self, address: str, message: Message) -> bool:
        """Sends a message to a node; returns whether it is connected."""
        peer = self.membership.peers.get(address)
        if peer is None or peer.link is None or not peer.link.up:
            return False
        peer.link.send(message)
        return True

    def apply_records(self, records: list[NodeRecord]) -> None:
        """Applies records that come from the store or from third nodes."""
        now = self.loop.time()
        own = self.membership.own.record
        for record in records:
            if record.address == own.address:
                self._handle_previous_record(record)
            else:
                self.membership.apply_record(record, direct=False, now=now)
        self._connect_due_peers(now)

    def _handle_previous_record(self, record: NodeRecord) -> None:
        own = self.membership.own.record
        if record.incarnation >= own.incarnation and record != own:
            # The clock was ahead when the previous process started. Only a
            # higher incarnation replaces that record at the other nodes.
            self.membership.set_own(
                msgspec.structs.replace(own, incarnation=record.incarnation + 1)
            )
        if record.instance is not None:
            self.on_previous_record(record.instance)

    # Periodic maintenance.

    async def run(self) -> None:
        """Connects, sends heartbeats and checks peers until cancelled."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            now = self.loop.time()
            self._connect_due_peers(now)
            self._send_heartbeats(now)
            self._detect_unresponsive_peers(now)

    def _connect_due_peers(self, now: float) -> None:
        for peer in self.membership.other_peers():
            if peer.connected or peer.connecting or now < peer.next_connect_at:
                continue
            if (
                peer.link is None
                and now - peer.last_received_at > REMOVE_AFTER_S
            ):
                self.membership.remove(peer.record.address)
                continue
            peer.connecting = True
            task = self.loop.create_task(self._connect(peer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _connect(self, peer: Peer) -> None:
        host, _, port = peer.record.address.rpartition(":")
        link = PeerLink(
            peer.record.address,
            not peer.same_domain,
            self._handle_link_message,
            self._handle_link_lost,
        )
        hello = Hello(self.membership.own.record, self.wants_nodes)
        connected = await link.open(host, int(port), hello)
        now = self.loop.time()
        peer.connecting = False
        if connected and link.up:
            peer.link = link
            peer.failed_connects = 0
            peer.last_received_at = now
            peer.unresponsive = False
            if self.membership.own.record != hello.record:
                # The record changed while the hello was on its way.
                link.send(Announce(self.membership.own.record))
            self.log.write("peer.connected", peer=peer.record.address)
            return
        wait = min(
            MAX_RECONNECT_DELAY_S,
            MIN_RECONNECT_DELAY_S * 2**peer.failed_connects,
        )
        peer.failed_connects = min(peer.failed_connects + 1, 8)
        peer.next_connect_at = now + wait * random.uniform(0.8, 1.2)

    def _send_heartbeats(self, now: float) -> None:
        load = self.get_load()
        age_s = None
        if self.store_contact_at is not None:
            age_s = round(now - self.store_contact_at, 3)
        heartbeat = NodeHeartbeat(
            load, self.config_version, self.operator_offset, age_s
        )
        self.membership.own.apply_load_report(load, now)
        for peer in self.membership.other_peers():
            if peer.same_domain and peer.link is not None:
                peer.link.send(heartbeat)

    def _detect_unresponsive_peers(self, now: float) -> None:
        for peer in self.membership.other_peers():
            link = peer.link
            if link is None or not link.up:
                continue
            last_received_at = max(peer.last_received_at, link.last_received_at)
            if peer.same_domain:
                self._set_unresponsive(
                    peer,
                    now - last_received_at > HEARTBEAT_TIMEOUT_S,
                    last_received_at,
                )
            elif link.pending and now - link.last_received_at > PING_TIMEOUT_S:
                link.ping(now)
                timed_out = now - link.ping_sent_at > PING_TIMEOUT_S
                self._set_unresponsive(peer, timed_out, last_received_at)
            elif peer.unresponsive and not link.ping_sent_at:
                self._set_unresponsive(peer, False, last_received_at)

    def _set_unresponsive(
        self, peer: Peer, unresponsive: bool, last_received_at: float
    ) -> None:
        if unresponsive == peer.unresponsive:
            if unresponsive and peer.link is not None:
                peer.link.give_up_retryable_calls()
            return
        peer.unresponsive = unresponsive
        kind = "peer.silent" if unresponsive else "peer.heard"
        self.log.write(
            kind,
            peer=peer.record.address,
            age_s=round(self.loop.time() - last_received_at, 3),
        )
        if unresponsive and peer.link is not None:
            count = peer.link.give_up_retryable_calls()
            self.metrics.count("peer_silences")
            self.log.write(
                "peer.calls_given_up", peer=peer.record.address, calls=count
            )

    def reset_links(self) -> None:
        """Closes all connections after this process was suspended."""
        for peer in self.membership.other_peers():
            if peer.link is not None:
                peer.link.close()
            peer.next_connect_at = 0.0
        for connection in list(self.inbound):
            connection.close()

    # Messages.

    def _handle_link_lost(self, link: PeerLink) -> None:
        peer = self._find_peer(link)
        if peer is not None:
            peer.link = None
            peer.next_connect_at = 0.0
            self.log.write("peer.lost", peer=peer.record.address)

    def _handle_link_message(self, link: PeerLink, message: AnyMessage) -> None:
        peer = self._find_peer(link)
        if peer is None:
            if isinstance(message, Welcome):
                self._handle_welcome(message)
            return
        now = self.loop.time()
        peer.last_received_at = now
        if isinstance(message, Reply):
            peer.apply_load_report(message.load, now)
        elif isinstance(message, Welcome):
            self._handle_welcome(message)
        elif isinstance(message, OperatorState):
            self.on_operator_state(message)

    def _find_peer(self, link: PeerLink) -> Peer | None:
        peer = self.membership.peers.get(link.address)
        return peer if peer is not None and peer.link is link else None

    def _handle_welcome(self, message: Welcome) -> None:
        now = self.loop.time()
        peer = self.membership.apply_record(
            message.record, direct=True, now=now
        )
        if peer is not None:
            peer.apply_load_report(message.load, now)
        for status in message.move_statuses:
            self.moves.apply_status(status, now)
        self.apply_records(message.others)

    def _handle_inbound_message(
        self, connection: PeerServer, message: AnyMessage
    ) -> None:
        now = self.loop.time()
        if isinstance(message, Hello):
            self._handle_hello(connection, message)
            return
        peer = self.membership.peers.get(connection.peer_address)
        if peer is None:
            return
        peer.last_received_at = now
        if isinstance(message, NodeHeartbeat):
            peer.apply_load_report(message.load, now)
            peer.store_contact_at = None
            if message.store_age_s is not None:
                peer.store_contact_at = now - message.store_age_s
            self.on_heartbeat(peer, message)
        elif isinstance(message, Announce):
            self._handle_announcement(message.record)
        elif isinstance(message, MoveAnnouncement):
            if self.moves.apply_status(message.status, now):
                self.log.write("move.plan", **message.status.log_fields())
        elif isinstance(message, Evidence):
            self.on_evidence(connection.peer_address, message)
        elif isinstance(message, FetchOperator):
            state = self.get_operator_state()
            if state is not None:
                connection.send(state)

    def _handle_announcement(self, record: NodeRecord) -> None:
        if (
            self.membership.apply_record(record, False, self.loop.time())
            is None
        ):
            return
        instance = record.instance
        self.log.write(
            "peer.changed",
            peer=record.address,
            revision=record.revision,
            stopping=record.stopping,
            instance=instance.id if instance is not None else None,
            ready=instance.ready if instance is not None else False,
            version=instance.version if instance is not None else None,
        )

    def _handle_hello(self, connection: PeerServer, message: Hello) -> None:
        now = self.loop.time()
        address = message.record.address
        known = self.membership.peers.get(address)
        others: list[NodeRecord] = []
        if known is not None:
            previous = known.record
            if previous.incarnation != message.record.incarnation:
                others.append(previous)
        if message.wants_nodes:
            others.extend(
                peer.record
                for peer in self.membership.other_peers()
                if peer.record.address != address and peer.connected
            )
        peer = self.membership.apply_record(
            message.record, direct=True, now=now
        )
        if peer is not None:
            peer.last_received_at = now
            peer.next_connect_at = 0.0
        self.inbound.add(connection)
        connection.send(
            Welcome(
                self.membership.own.record,
                others,
                self.moves.statuses(),
                self.get_load(),
            )
        )
        if message.record.failure_domain != self.settings.failure_domain:
            connection.codec.enable_compression()
        self._connect_due_peers(now)
