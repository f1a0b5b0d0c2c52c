"""Connections that this node opens to other nodes."""

import asyncio
import random
from collections.abc import Callable, Container

from vanillamast_sidecar.http.memory_account import MemoryAccount
from vanillamast_sidecar.membership.membership import Membership
from vanillamast_sidecar.membership.peer import Peer
from vanillamast_sidecar.mesh.messages import AnyMessage, Hello
from vanillamast_sidecar.mesh.peer_link import PeerLink
from vanillamast_sidecar.observability.event_logger import EventLogger

MIN_RECONNECT_DELAY_S = 0.2
# Bounds how long a node that is reachable again goes unnoticed.
MAX_RECONNECT_DELAY_S = 1.5
# Attempts at the same time to nodes whose connection was lost.
MAX_RECONNECTS = 16
# Attempts at the same time that no request waits for.
MAX_ATTEMPTS = 64
# A connection without calls for this long is closed. Nodes whose servers get
# requests more often than that stay connected.
IDLE_LIMIT_S = 20.0


class LinkPool:
    """Opens a connection when it is first used and keeps it while it is used.

    Attributes:
      membership: Known nodes.
      make_hello: Returns the first message of a connection.
      on_message: Handles messages on the connections.
      on_connected: Called with a peer to which a connection was opened.
      log: Event logger.
      linked: Nodes with an open connection, by address.
      failed: Nodes to reconnect to, by address.
      account: Memory for what the connections hold; None for any amount.
      attempts: Attempts to connect that are under way.
    """

    def __init__(
        self,
        membership: Membership,
        make_hello: Callable[[Peer], Hello],
        on_message: Callable[[PeerLink, AnyMessage], None],
        on_connected: Callable[[Peer, Hello], None],
        log: EventLogger,
    ):
        self.membership = membership
        self.make_hello = make_hello
        self.on_message = on_message
        self.on_connected = on_connected
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.linked: dict[str, Peer] = {}
        self.failed: dict[str, Peer] = {}
        self.account: MemoryAccount | None = None
        self.attempts = 0

    async def get(self, peer: Peer) -> PeerLink | None:
        """Returns an open connection to a node, None if it can't be reached."""
        link = peer.link
        if link is not None and link.up:
            return link
        # Other callers may wait for the same attempt.
        return await asyncio.shield(self.connect(peer))

    def connect_if_idle(self, peer: Peer, now: float) -> None:
        """Connects to a node unless that is too early or too many are tried.

        Records may name any number of nodes that do not exist.
        """
        if (
            peer.link is None
            and now >= peer.next_connect_at
            and self.attempts < MAX_ATTEMPTS
        ):
            self.connect(peer)

    def connect(self, peer: Peer) -> "asyncio.Task[PeerLink | None]":
        """Starts to connect unless an attempt is under way."""
        task = peer.connecting
        if task is None:
            task = self.loop.create_task(self._connect(peer))
            peer.connecting = task
            peer.connecting_since = self.loop.time()
            self.attempts += 1
            task.add_done_callback(self._count_attempt)
        return task

    def _count_attempt(self, task: "asyncio.Task[PeerLink | None]") -> None:
        del task  # All attempts count alike.
        self.attempts -= 1

    async def _connect(self, peer: Peer) -> PeerLink | None:
        host, _, port = peer.record.address.rpartition(":")
        link = PeerLink(
            peer.record.address,
            not peer.same_domain,
            self.on_message,
            self._handle_lost,
            self.account,
        )
        hello = self.make_hello(peer)
        try:
            connected = await link.open(host, int(port), hello)
        except (ValueError, OverflowError):
            # The address in the record is not one.
            connected = False
        finally:
            peer.connecting = None
        now = self.loop.time()
        address = peer.record.address
        if not connected or not link.up:
            self._schedule_reconnect(peer, now)
            return None
        peer.link = link
        peer.failed = False
        peer.failed_connects = 0
        peer.last_received_at = now
        peer.unresponsive = False
        link.last_used_at = now
        self.linked[address] = peer
        self.failed.pop(address, None)
        self.log.write("peer.connected", peer=address)
        self.on_connected(peer, hello)
        return link

    def _schedule_reconnect(self, peer: Peer, now: float) -> None:
        wait_s = min(
            MAX_RECONNECT_DELAY_S,
            MIN_RECONNECT_DELAY_S * 2**peer.failed_connects,
        )
        peer.failed_connects = min(peer.failed_connects + 1, 8)
        peer.next_connect_at = now + wait_s * random.uniform(0.8, 1.2)
        peer.failed = True
        self.failed[peer.record.address] = peer

    def _handle_lost(self, link: PeerLink) -> None:
        peer = self.membership.peers.get(link.address)
        if peer is None or peer.link is not link:
            return
        peer.link = None
        self.linked.pop(link.address, None)
        self.log.write("peer.lost", peer=link.address, idle=link.closed_as_idle)
        if link.closed_as_idle:
            return
        peer.failed = True
        peer.next_connect_at = 0.0
        self.failed[link.address] = peer

    def reconnect_failed(self, now: float) -> None:
        """Tries nodes again whose connection was lost."""
        attempts = 0
        for address, peer in list(self.failed.items()):
            if self.membership.peers.get(address) is not peer:
                del self.failed[address]
            elif peer.connecting is not None:
                attempts += 1
            elif now >= peer.next_connect_at and attempts < MAX_RECONNECTS:
                attempts += 1
                self.connect(peer)

    def close_idle(self, kept: Container[str], now: float) -> None:
        """Closes connections that are no longer used, except the kept ones."""
        for address, peer in list(self.linked.items()):
            link = peer.link
            if link is None or address in kept or link.pending:
                continue
            if now - link.last_used_at > IDLE_LIMIT_S:
                link.close_idle()

    def reset(self) -> None:
        """Closes all connections; they are opened again at once."""
        for peer in list(self.linked.values()):
            if peer.link is not None:
                peer.link.close()
        for peer in self.failed.values():
            peer.next_connect_at = 0.0
