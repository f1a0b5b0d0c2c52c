"""How the nodes of the fleet hear of each other."""

import asyncio
import random
from collections.abc import Callable, Iterable

import msgspec

from vanillamast_sidecar.admission.call_result import CallResult
from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.admission.reason import Reason
from vanillamast_sidecar.crashes.server_end import ServerEnd
from vanillamast_sidecar.http.listening import listen
from vanillamast_sidecar.membership.instance_facts import Facts
from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.membership.load_report import LoadReport
from vanillamast_sidecar.membership.membership import Membership
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.membership.peer import Peer
from vanillamast_sidecar.mesh.frame_codec import make_frame
from vanillamast_sidecar.mesh.hub import HUB_INTERVAL_S
from vanillamast_sidecar.mesh.hub_duty import HubDuty
from vanillamast_sidecar.mesh.hub_selector import HUBS_PER_DOMAIN, select_hubs
from vanillamast_sidecar.mesh.hub_view import HubView
from vanillamast_sidecar.mesh.inbound_limiter import InboundLimiter
from vanillamast_sidecar.mesh.link_pool import LinkPool
from vanillamast_sidecar.mesh.messages import (
    AnyMessage,
    DomainStatus,
    DomainUsage,
    Evidence,
    FetchOperator,
    FetchRecords,
    Hello,
    HubReport,
    Message,
    MoveAnnouncement,
    NodeHeartbeat,
    OperatorState,
    Records,
    Reply,
    Welcome,
)
from vanillamast_sidecar.mesh.peer_link import PeerLink
from vanillamast_sidecar.mesh.peer_monitor import PeerMonitor
from vanillamast_sidecar.mesh.peer_server import (
    BusyCheck,
    CallRunner,
    PeerServer,
)
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.organisations.organisation import Organisation
from vanillamast_sidecar.rollouts.move_table import MoveTable
from vanillamast_sidecar.settings import Address, SidecarSettings
from vanillamast_sidecar.usage.usage_limiter import UsageLimiter

# Heartbeats go to the hubs in turn.
MAINTENANCE_INTERVAL_S = HUB_INTERVAL_S / HUBS_PER_DOMAIN
# Least time between two requests of this node for all records.
FETCH_RECORDS_INTERVAL_S = 2.0
# A hub is pinged after two missing reports, and hubs of other failure domains
# after this time without a message.
HUB_QUIET_S = 0.45
# A node that is no hub waits up to this time before it tells another one what
# that one has forgotten: hubs tell it first.
REMIND_JITTER_S = 2.0
DOMAIN_HUB_QUIET_S = 1.0


class Mesh:
    """Distributes records, loads and move statuses over the fleet's hubs.

    Each node sends heartbeats to the hubs of its failure domain and gets their
    reports. Hubs pass records and move statuses on to the nodes of their
    failure domain and to the hubs of the others. Calls take a direct
    connection, which is opened on use. Nodes send on the connections that they
    opened, and answer on those that other nodes opened.

    Attributes:
      settings: Settings of the node.
      membership: Known nodes and their servers.
      moves: Moves of traffic between server versions.
      run_call: Runs a call on the local server.
      get_load: Returns the load of the local server.
      log: Event logger.
      metrics: Metrics.
      links: Connections that this node opened.
      monitor: Detects nodes that no longer answer.
      view: What the hubs of the failure domain have reported.
      usage: Admits requests of organisations with a usage cap.
      duty: What this node does as a hub.
      hubs: The hubs that this node uses, in the order of their addresses.
      on_facts: Handles what others know of this node's own server.
      on_evidence: Handles evidence on a move, with the sender's address.
      on_versions: Handles the operator state's version that another node
        has: the node, configuration version, offset and era.
      on_operator_state: Handles the operator's state as another node has it.
      on_server_end: Handles the end of a server; returns whether it is new.
      refuse_if_busy: Refuses a call that may not wait, if there is no slot.
      refuse_for_memory: Returns the refusal of a call without memory for it.
      get_operator_state: Returns the operator's state as this node has it.
      get_evacuations: Returns the part of it on evacuations; None without
        one.
      limiter: Limits the connections that others open.
      inbound: Connections that other nodes opened.
      reminders: When to tell nodes what their records lack, in loop time, by
        address.
      wants_nodes: Whether the list of nodes has not been read yet.
      config_version: Version of the node's configuration, -1 without one.
      operator_offset: Offset up to which the node has read the operator's
        stream.
      operator_era: Era of the store that the offset belongs to.
      get_store_age_s: Returns the age of the newest answer to this node's own
        reads of the operator's stream, in seconds; None if it is no reader.
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
        self.links = LinkPool(
            self.membership,
            self._make_hello,
            self._handle_link_message,
            self._handle_connected,
            log,
        )
        self.monitor = PeerMonitor(self.membership, self.links, log, metrics)
        self.view = HubView(self.membership)
        self.usage = UsageLimiter(record.address, settings.bounds)
        self.duty = HubDuty(
            self.membership, self.links, self.view, self.usage, log, metrics
        )
        self.hubs: list[Peer] = []
        self.on_facts: Callable[[Facts], None] = lambda _: None
        self.on_evidence: Callable[[str, Evidence], None] = lambda *_: None
        self.on_versions: Callable[[Peer, int, int, int], None] = lambda *_: (
            None
        )
        self.on_operator_state: Callable[[OperatorState], None] = lambda _: None
        self.on_server_end: Callable[[ServerEnd], bool] = lambda _: False
        self.refuse_if_busy: BusyCheck = lambda: None
        self.refuse_for_memory: Callable[[], CallResult] = lambda: CallResult(
            Outcome.NOT_RUN, Reason.NO_ROOM
        )
        self.get_operator_state: Callable[[], OperatorState | None] = lambda: (
            None
        )
        self.get_evacuations: Callable[[], OperatorState | None] = lambda: None
        self.loop = asyncio.get_running_loop()
        self.limiter = InboundLimiter()
        self.inbound: set[PeerServer] = set()
        self.reminders: dict[str, float] = {}
        self.wants_nodes = True
        self.config_version = -1
        self.operator_offset = 0
        self.operator_era = 0
        self.get_store_age_s: Callable[[], float | None] = lambda: None
        self.tasks: set[asyncio.Task[None]] = set()
        self.ticks = 0
        self.fetched_records_at = -FETCH_RECORDS_INTERVAL_S

    @property
    def is_hub(self) -> bool:
        """Returns whether this node acts as a hub."""
        return self.duty.active

    async def listen(self, address: Address) -> asyncio.Server:
        """Starts to accept connections of other nodes."""
        return await listen(
            lambda: PeerServer(
                self.run_call,
                self.get_load,
                self._handle_inbound_message,
                self._handle_inbound_closed,
                self.limiter,
                lambda: self.refuse_if_busy(),
                lambda: self.refuse_for_memory(),
            ),
            address.host,
            address.port,
        )

    # This node's own record.

    def announce(
        self,
        instance: InstanceRecord | None,
        stopping: bool,
        serves_while_stopping: bool = False,
        facts: Facts = (),
    ) -> NodeRecord:
        """Announces a change of this node or its server to all nodes.

        Raises:
          FrameError: The record cannot be encoded; the last one stays.
        """
        own = self.membership.own.record
        record = msgspec.structs.replace(
            own,
            revision=own.revision + 1,
            stopping=stopping,
            instance=instance,
            serves_while_stopping=serves_while_stopping,
            facts=facts,
        )
        self._replace_own(record)
        return record

    def _replace_own(self, record: NodeRecord) -> None:
        # A record that cannot be sent must not become part of later messages.
        frame = make_frame(Records([record]))
        self.membership.set_own(record)
        self._broadcast_frame(frame)

    def broadcast(self, message: Message) -> None:
        """Sends a message to all nodes, through the hubs."""
        self._broadcast_frame(make_frame(message))

    def _broadcast_frame(self, frame: bytearray) -> None:
        for hub in self.hubs:
            if hub.link is not None:
                hub.link.send_frame(frame)
        if self.is_hub:
            self.duty.pass_on(frame, to_domains=True)

    def send(self, address: str, message: Message) -> bool:
        """Sends a message to a node, connecting to it first if necessary.

        Returns:
          Whether the node can be reached as far as this one knows.
        """
        peer = self.membership.peers.get(address)
        if peer is None or peer.is_self or not peer.reachable:
            return False
        if peer.link is not None and peer.link.up:
            peer.link.last_used_at = self.loop.time()
            peer.link.send(message)
            return True
        task = self.loop.create_task(self._connect_and_send(peer, message))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return True

    async def _connect_and_send(self, peer: Peer, message: Message) -> None:
        link = await self.links.get(peer)
        if link is not None:
            link.send(message)

    def is_connected(self) -> bool:
        """Returns whether this node is connected to another one."""
        return bool(self.links.linked or self.inbound)

    def apply_records(self, records: list[NodeRecord]) -> list[NodeRecord]:
        """Applies records that come from the store or from third nodes.

        Returns:
          The records that were new.
        """
        now = self.loop.time()
        own = self.membership.own.record
        new = []
        for record in records:
            if record.address == own.address:
                self._handle_previous_record(record)
                continue
            peer = self.membership.apply_record(record, direct=False, now=now)
            if peer is not None:
                new.append(peer.record)
        return new

    def apply_organisations(
        self, organisations: Iterable[Organisation]
    ) -> None:
        """Applies the usage caps of a configuration."""
        self.duty.ledger.apply_organisations(organisations)

    def apply_listed_nodes(self, records: list[NodeRecord]) -> None:
        """Applies the list of nodes that the store has."""
        # Nodes that were cut off for long are tried again.
        self.membership.removed.clear()
        self.wants_nodes = False
        self.apply_records(records)
        self._select_hubs(self.loop.time())

    def _log_record(self, record: NodeRecord) -> None:
        instance = record.instance
        self.log.write(
            "peer.changed",
            peer=record.address,
            revision=record.revision,
            stopping=record.stopping,
            accepts_calls=record.accepts_calls,
            instance=instance.id if instance is not None else None,
            ready=instance.ready if instance is not None else False,
            version=instance.version if instance is not None else None,
        )

    def _handle_previous_record(self, record: NodeRecord) -> None:
        own = self.membership.own.record
        if record.is_newer_than(own):
            # The clock was ahead when the previous process started. Only a
            # higher incarnation replaces that record at the other nodes. An
            # older record is a late copy of this process's own.
            self._replace_own(
                msgspec.structs.replace(own, incarnation=record.incarnation + 1)
            )
        facts = record.get_facts()
        if facts:
            self.on_facts(facts)

    # Periodic maintenance.

    async def run(self) -> None:
        """Keeps the node connected to its hubs until cancelled."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            now = self.loop.time()
            self.ticks += 1
            self._select_hubs(now)
            heartbeat = self._make_heartbeat(now)
            self._retain_usage_receivers()
            self._send_heartbeat(heartbeat)
            if self.is_hub:
                self.duty.work(heartbeat, now)
            unheard = self.view.find_unheard(now)
            for address in self.monitor.apply_unheard(unheard, now):
                self.duty.hub.remove(address)
            self._maintain_links(now)
            self._remind_nodes(now)

    def _remind_nodes(self, now: float) -> None:
        """Tells nodes the facts that their own records lack."""
        outdated = self.membership.outdated
        for address in self.reminders.keys() - outdated:
            del self.reminders[address]
        for address in list(outdated):
            due = self.reminders.get(address)
            if due is None:
                jitter_s = 0.0 if self.is_hub else REMIND_JITTER_S
                due = now + random.uniform(0.0, jitter_s)
                self.reminders[address] = due
            if now >= due:
                outdated.discard(address)
                record = self.membership.peers[address].record
                self.log.write("peer.reminded", peer=address)
                self.send(address, Records([record]))

    def _take_reminders(
        self, previous: NodeRecord | None, record: NodeRecord
    ) -> list[NodeRecord]:
        """Returns what a node that has just connected has to know of itself.

        Args:
          previous: Record of the node before it connected, None without one.
          record: Record that it has sent.
        """
        if previous is not None and previous.incarnation != record.incarnation:
            return [previous]
        address = record.address
        if address not in self.membership.outdated:
            return []
        self.membership.outdated.discard(address)
        return [self.membership.peers[address].record]

    def _select_hubs(self, now: float) -> None:
        """Chooses the hubs and connects to them."""
        hubs = select_hubs(self.membership.own_domain(), now)
        self.hubs = [peer for peer in hubs if not peer.is_self]
        self.duty.update(len(self.hubs) < len(hubs), now)
        for peer in (*self.hubs, *self.duty.other_hubs()):
            self.links.connect_if_idle(peer, now)

    def _make_heartbeat(self, now: float) -> NodeHeartbeat:
        load = self.get_load()
        self.membership.own.apply_load_report(load, now)
        age_s = self.get_store_age_s()
        if age_s is not None:
            age_s = round(age_s, 3)
        return NodeHeartbeat(
            load,
            self.config_version,
            self.operator_offset,
            age_s,
            self.operator_era,
        )

    def _send_heartbeat(self, heartbeat: NodeHeartbeat) -> None:
        """Sends the heartbeat to one of the hubs, in turn."""
        for position, peer in enumerate(self.hubs):
            turn = self.ticks % HUBS_PER_DOMAIN == position % HUBS_PER_DOMAIN
            if turn and peer.link is not None:
                self._send_with_usage(heartbeat, peer.link)

    def _send_with_usage(
        self, heartbeat: NodeHeartbeat, link: PeerLink
    ) -> None:
        counts = self.usage.make_counts(link.address, link)
        if counts is not None:
            heartbeat = msgspec.structs.replace(heartbeat, usage=counts)
        link.send(heartbeat)

    def _retain_usage_receivers(self) -> None:
        """Forgets what nodes were sent that are no longer hubs."""
        self.usage.nodes = len(self.membership.peers)
        receivers = {peer.record.address for peer in self.hubs}
        if self.is_hub:
            receivers.add(self.membership.own.record.address)
        self.usage.changes.retain(receivers)

    def _maintain_links(self, now: float) -> None:
        max_quiet_s = {
            peer.record.address: DOMAIN_HUB_QUIET_S
            for peer in self.duty.other_hubs()
        }
        for peer in self.hubs:
            max_quiet_s[peer.record.address] = HUB_QUIET_S
        self.monitor.check_links(max_quiet_s, now)
        self.links.reconnect_failed(now)
        self.links.close_idle(max_quiet_s.keys(), now)

    def reset_links(self) -> None:
        """Closes all connections after this process was suspended."""
        self.links.reset()
        for connection in list(self.inbound):
            connection.close()

    # Connections.

    def _make_hello(self, peer: Peer) -> Hello:
        # A silent node may know of nodes that this one does not.
        wants_nodes = self.wants_nodes or peer.silent_since is not None
        return Hello(self.membership.own.record, wants_nodes)

    def _handle_connected(self, peer: Peer, hello: Hello) -> None:
        link = peer.link
        if link is None:
            return
        if self.membership.own.record != hello.record:
            # The record changed while the hello was on its way.
            link.send(Records([self.membership.own.record]))
        if peer in self.hubs:
            # The hub answers with a report on the whole failure domain.
            self._send_with_usage(self._make_heartbeat(self.loop.time()), link)
        if self.is_hub and not peer.same_domain:
            for status in self.moves.statuses():
                link.send(MoveAnnouncement(status))
            evacuations = self.get_evacuations()
            if evacuations is not None:
                link.send(evacuations)

    def _handle_inbound_closed(self, connection: PeerServer) -> None:
        self.inbound.discard(connection)
        self.duty.subscribers.discard(connection)

    # Messages on the connections that this node opened.

    def _handle_link_message(self, link: PeerLink, message: AnyMessage) -> None:
        peer = self.membership.peers.get(link.address)
        if isinstance(message, Welcome):
            self._handle_welcome(link, message)
            return
        if peer is None or peer.link is not link:
            return
        now = self.loop.time()
        peer.last_received_at = now
        if isinstance(message, Reply):
            peer.apply_load_report(message.load, now)
        elif isinstance(message, HubReport):
            self._handle_report(peer, message)
        elif isinstance(message, Records):
            self._handle_records(message, peer, None)
        elif isinstance(message, FetchRecords):
            link.send(Records(self._all_records()))
        elif isinstance(message, MoveAnnouncement):
            self._handle_move_status(message, peer, None)
        elif isinstance(message, OperatorState):
            self.on_operator_state(message)

    def _handle_welcome(self, link: PeerLink, message: Welcome) -> None:
        now = self.loop.time()
        known = self.membership.peers.get(message.record.address)
        previous = known.record if known is not None else None
        peer = self.membership.apply_record(
            message.record, direct=True, now=now
        )
        if peer is not None:
            peer.apply_load_report(message.load, now)
            self.duty.relay.add([peer.record], peer.same_domain)
            reminders = self._take_reminders(previous, message.record)
            if reminders:
                link.send(Records(reminders))
        for status in message.move_statuses:
            self.moves.apply_status(status, now)
        self.duty.relay.add(
            self.apply_records(message.others), same_domain=True
        )

    def _handle_report(self, peer: Peer, report: HubReport) -> None:
        """Applies the report of a hub of this failure domain."""
        now = self.loop.time()
        address = peer.record.address
        self.view.apply_report(address, report, now)
        if report.usage is not None:
            self.usage.apply_shares(report.usage, now)
        for version in report.versions:
            source = self.membership.peers.get(version.address)
            if source is not None and not source.is_self:
                self.on_versions(
                    source,
                    version.config_version,
                    version.operator_offset,
                    version.operator_era,
                )
        if report.digest and self.view.needs_records(address, report.digest):
            self._fetch_records(peer)

    def _fetch_records(self, peer: Peer) -> None:
        now = self.loop.time()
        if now - self.fetched_records_at >= FETCH_RECORDS_INTERVAL_S:
            self.fetched_records_at = now
            self.log.write("peer.records_fetched", peer=peer.record.address)
            if peer.link is not None:
                peer.link.send(FetchRecords())

    def _all_records(self) -> list[NodeRecord]:
        return [peer.record for peer in self.membership.peers.values()]

    # Messages on the connections that other nodes opened.

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
            self._handle_heartbeat(connection, peer, message)
        elif isinstance(message, Records):
            self._handle_records(message, peer, connection)
        elif isinstance(message, MoveAnnouncement):
            self._handle_move_status(message, peer, connection)
        elif isinstance(message, DomainStatus):
            self._handle_domain_status(peer, message)
        elif isinstance(message, DomainUsage):
            self._handle_domain_usage(peer, message)
        elif isinstance(message, Evidence):
            self.on_evidence(connection.peer_address, message)
        elif isinstance(message, FetchRecords):
            if connection.may_answer():
                connection.send(Records(self._all_records()))
                # The sender may have records that this node lacks.
                connection.send(FetchRecords())
        elif isinstance(message, FetchOperator):
            self._send_operator_state(connection)
        elif isinstance(message, OperatorState):
            self.on_operator_state(message)

    def _send_operator_state(self, connection: PeerServer) -> None:
        """Sends the operator's state, each version once on a connection.

        On a slow link, a node asks again while the answer is on its way.
        """
        version = (self.operator_era, self.operator_offset, self.config_version)
        if connection.sent_operator_version == version:
            return
        state = self.get_operator_state()
        if state is not None and connection.may_answer():
            connection.sent_operator_version = version
            connection.send(state)

    def _handle_heartbeat(
        self, connection: PeerServer, peer: Peer, heartbeat: NodeHeartbeat
    ) -> None:
        """Applies the heartbeat of a node that uses this one as a hub."""
        now = self.loop.time()
        peer.apply_load_report(heartbeat.load, now)
        self.view.apply_heartbeat(peer, heartbeat, now)
        if self.duty.handle_heartbeat(connection, heartbeat, now):
            for status in self.moves.statuses():
                connection.send(MoveAnnouncement(status))
            evacuations = self.get_evacuations()
            if evacuations is not None:
                connection.send(evacuations)
        self.on_versions(
            peer,
            heartbeat.config_version,
            heartbeat.operator_offset,
            heartbeat.operator_era,
        )

    def _handle_records(
        self, message: Records, peer: Peer, connection: PeerServer | None
    ) -> None:
        """Applies records and passes the new ones on."""
        ends = [end for end in message.server_ends if self.on_server_end(end)]
        if ends and self.is_hub:
            frame = make_frame(Records([], ends))
            self.duty.pass_on(frame, peer.same_domain, connection)
        new = self.apply_records(message.records)
        for record in new:
            self._log_record(record)
        self.duty.relay.add(new, peer.same_domain)

    def _handle_move_status(
        self,
        message: MoveAnnouncement,
        peer: Peer,
        connection: PeerServer | None,
    ) -> None:
        """Applies a move status and passes it on if it is new."""
        status = message.status
        known_s = self.moves.known_elapsed_s(status)
        changed = self.moves.apply_status(status, self.loop.time())
        if changed:
            self.log.write("move.plan", **status.log_fields())
        # A status that was not accepted would go round for ever.
        accepted = changed or self.moves.known_elapsed_s(status) > known_s
        if self.is_hub and accepted:
            self.duty.pass_on(make_frame(message), peer.same_domain, connection)
        end = self.moves.find_renewed_end(status)
        if self.is_hub and end is not None:
            self._answer(peer, connection, MoveAnnouncement(end))

    def _answer(
        self, peer: Peer, connection: PeerServer | None, message: Message
    ) -> None:
        """Answers on the connection that a message arrived on."""
        if connection is not None:
            connection.send(message)
        elif peer.link is not None:
            peer.link.send(message)

    def _handle_domain_status(self, peer: Peer, status: DomainStatus) -> None:
        now = self.loop.time()
        address = peer.record.address
        self.duty.hub.handle_status(address, status, now)
        if self.view.needs_records(address, status.digest):
            self._fetch_records(peer)
        if self.is_hub:
            self.on_versions(
                peer,
                status.config_version,
                status.operator_offset,
                status.operator_era,
            )

    def _handle_domain_usage(self, peer: Peer, message: DomainUsage) -> None:
        record = peer.record
        self.duty.ledger.handle_domain_usage(
            record.failure_domain,
            record.address,
            record.incarnation,
            message.counts,
            self.loop.time(),
        )

    def _handle_hello(self, connection: PeerServer, message: Hello) -> None:
        now = self.loop.time()
        address = message.record.address
        known = self.membership.peers.get(address)
        previous = known.record if known is not None else None
        others: list[NodeRecord] = []
        if message.wants_nodes:
            others.extend(
                peer.record
                for peer in self.membership.other_peers()
                if peer.record.address != address
            )
        peer = self.membership.apply_record(
            message.record, direct=True, now=now
        )
        if peer is not None:
            peer.last_received_at = now
            peer.next_connect_at = 0.0
            others += self._take_reminders(previous, message.record)
            if previous != peer.record:
                self._log_record(peer.record)
                self.duty.relay.add([peer.record], peer.same_domain)
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
