"""Catching up on log entries from peers that are ahead."""

import random

from vanillamast_core.peers.dialer import Dialer
from vanillamast_core.peers.effects import StateLoaded
from vanillamast_core.peers.entry_broadcaster import EntryBroadcaster
from vanillamast_core.peers.entry_store import EntryStore
from vanillamast_core.peers.link import Link
from vanillamast_core.peers.link_messages import (
    Graft,
    StateChunk,
    StateRequest,
)
from vanillamast_core.peers.link_table import LinkTable
from vanillamast_core.peers.settings import PeerSettings
from vanillamast_core.peers.snapshot_server import SnapshotServer


class CatchUp:
    """Requests missing entries from one peer at a time, and serves others.

    Attributes:
      settings: Timeouts and limits.
      rng: Source of jitter and of the choice among peers.
      store: The state built from the log.
      links: Links of this node.
      broadcaster: Applies and sends entries.
      snapshot_server: Serves snapshots.
      dialer: Computes the backoff.
      highest_offset: Highest offset that any peer reported.
      behind_since: When this node was first seen behind, or last advanced.
      asked_link: Link of the outstanding request, None if there is none.
      last_progress_at: When the request was sent or last brought data.
      retry_at: No request before this time.
      failed_requests: Consecutive requests that failed.
      chunks: Received chunks of the snapshot from `asked_link`, by index.
    """

    def __init__(
        self,
        settings: PeerSettings,
        rng: random.Random,
        store: EntryStore,
        links: LinkTable,
        broadcaster: EntryBroadcaster,
        dialer: Dialer,
    ):
        self.settings = settings
        self.rng = rng
        self.store = store
        self.links = links
        self.broadcaster = broadcaster
        self.dialer = dialer
        self.snapshot_server = SnapshotServer(settings, store, links)
        self.highest_offset = 0
        self.behind_since: float | None = None
        self.asked_link: Link | None = None
        self.last_progress_at = 0.0
        self.retry_at = 0.0
        self.failed_requests = 0
        self.chunks: dict[int, StateChunk] = {}

    def record_peer_offset(self, link: Link, offset: int, now: float) -> None:
        """Records an offset that a peer has."""
        link.offset = max(link.offset, offset)
        if offset > self.store.offset:
            self.highest_offset = max(self.highest_offset, offset)
            if self.behind_since is None:
                self.behind_since = now

    def handle_hello(self, link: Link, now: float) -> None:
        """Sends a request to a new peer at once if it is ahead."""
        if link.offset > self.store.offset and self._may_request(now):
            self._send_request(link, StateRequest(self.store.offset), now)

    def handle_progress(self, now: float) -> None:
        """Records that the store's offset grew."""
        behind = self.highest_offset > self.store.offset
        self.behind_since = now if behind else None
        self.failed_requests = 0
        link = self.asked_link
        if link is None:
            return
        if link.offset <= self.store.offset:
            self._clear_request()
        else:
            self.last_progress_at = now

    def handle_entries(self, link: Link, now: float) -> None:
        """Continues the request if the peer has further entries."""
        if link is self.asked_link and not self.chunks:
            if link.offset > self.store.offset:
                self._send_request(link, StateRequest(self.store.offset), now)
            else:
                self._clear_request()

    def serve_request(self, link: Link, after: int, now: float) -> None:
        """Answers a peer's request with entries or a snapshot."""
        if after >= self.store.offset:
            return
        entries = self.store.tail(after, self.settings.tail_bytes)
        if entries is None:
            self.snapshot_server.start_transfer(link, now)
        elif entries:
            self.broadcaster.send_entries(link, entries)

    def handle_busy(self, link: Link, now: float) -> None:
        """Backs off after Busy; the next request goes to any peer ahead."""
        if link is self.asked_link:
            self._back_off(now)

    def handle_link_lost(self, link: Link, now: float) -> None:
        """Ends the request to a peer whose link was lost."""
        if link is self.asked_link:
            self._back_off(now)

    def handle_chunk(self, link: Link, chunk: StateChunk, now: float) -> bool:
        """Adds a chunk and loads the snapshot when it is complete.

        Returns:
          Whether the state was replaced.
        """
        self.record_peer_offset(link, chunk.offset, now)
        if link is not self.asked_link or chunk.offset <= self.store.offset:
            return False
        first = next(iter(self.chunks.values()), chunk)
        if first.offset != chunk.offset:
            self.chunks.clear()
        self.chunks[chunk.index] = chunk
        self.last_progress_at = now
        if len(self.chunks) < chunk.count:
            return False
        return self._load_snapshot(chunk.offset, now)

    def tick(self, now: float) -> None:
        """Times out the outstanding request and starts one that is due."""
        if self.snapshot_server.transfers:
            self.snapshot_server.tick(now)
        if self.highest_offset <= self.store.offset:
            self.behind_since = None
            return
        timeout = self.settings.request_timeout_s
        if (
            self.asked_link is not None
            and now - self.last_progress_at >= timeout
        ):
            self._back_off(now)
        since = self.behind_since
        if since is None or now - since < self.settings.graft_delay_s:
            return
        if self._may_request(now):
            self._request_from_any(now)

    def _request_from_any(self, now: float) -> None:
        ahead = [
            link
            for link in self.links.by_instance.values()
            if link.offset > self.store.offset
        ]
        if not ahead:
            # The peers that reported this offset are no longer linked, and
            # the other peers may lack it.
            self.highest_offset = 0
            return
        link = self.rng.choice(ahead)
        link.eager = True
        self._send_request(link, Graft(self.store.offset), now)

    def _may_request(self, now: float) -> bool:
        return self.asked_link is None and now >= self.retry_at

    def _send_request(
        self, link: Link, message: Graft | StateRequest, now: float
    ) -> None:
        self.asked_link = link
        self.last_progress_at = now
        self.links.send(link, message)

    def _clear_request(self) -> None:
        self.asked_link = None
        self.chunks.clear()

    def _back_off(self, now: float) -> None:
        self._clear_request()
        self.failed_requests += 1
        self.retry_at = now + self.dialer.random_backoff(self.failed_requests)

    def _load_snapshot(self, offset: int, now: float) -> bool:
        parts = [self.chunks[index].data for index in sorted(self.chunks)]
        before = self.store.offset
        loaded = self.store.load_snapshot(b"".join(parts))
        if not loaded or self.store.offset <= before:
            self._back_off(now)
            return False
        self._clear_request()
        self.links.effects.append(StateLoaded(self.store.offset))
        self.broadcaster.discard_applied()
        self.broadcaster.apply_pending(None)
        self.handle_progress(now)
        return True
