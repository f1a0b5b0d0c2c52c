"""Closing of gaps by asking peers that are ahead."""

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
    """Asks one peer at a time for what this node lacks, and answers others.

    Attributes:
      settings: Timeouts and limits.
      rng: Source of jitter and of the choice among peers.
      store: The fold of the log.
      links: Links of this node.
      broadcaster: Applies and sends entries.
      server: Serves snapshots.
      dialer: Gives the backoff.
      highest: Highest offset that any peer reported.
      behind_since: When this node was first seen behind, or last advanced.
      asked: Link that was asked last, while an answer may come.
      asked_at: When it was asked or last gave something.
      retry_at: No request before this time.
      refusals: Consecutive requests that ended in Busy or nothing.
      chunks: Parts of the snapshot that is arriving on `asked`.
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
        self.server = SnapshotServer(settings, store, links)
        self.highest = 0
        self.behind_since: float | None = None
        self.asked: Link | None = None
        self.asked_at = 0.0
        self.retry_at = 0.0
        self.refusals = 0
        self.chunks: dict[int, StateChunk] = {}

    def saw_offset(self, link: Link, offset: int, now: float) -> None:
        """Records an offset that a peer has."""
        link.offset = max(link.offset, offset)
        if offset > self.store.offset:
            self.highest = max(self.highest, offset)
            if self.behind_since is None:
                self.behind_since = now

    def saw_hello(self, link: Link, now: float) -> None:
        """Asks a new peer at once if it is ahead."""
        if link.offset > self.store.offset and self._may_ask(now):
            self._ask(link, StateRequest(self.store.offset), now)

    def advanced(self, now: float) -> None:
        """Records that the store's offset grew."""
        behind = self.highest > self.store.offset
        self.behind_since = now if behind else None
        self.refusals = 0
        link = self.asked
        if link is None:
            return
        if link.offset <= self.store.offset:
            self._clear()
        else:
            self.asked_at = now

    def answered(self, link: Link, now: float) -> None:
        """Asks on if the answer of a peer did not close the gap."""
        if link is self.asked and not self.chunks:
            if link.offset > self.store.offset:
                self._ask(link, StateRequest(self.store.offset), now)
            else:
                self._clear()

    def answer(self, link: Link, after: int, now: float) -> None:
        """Answers a peer's request by entries or by a snapshot."""
        if after >= self.store.offset:
            return
        entries = self.store.tail(after, self.settings.tail_bytes)
        if entries is None:
            self.server.serve(link, now)
        elif entries:
            self.broadcaster.answer(link, entries)

    def refused(self, link: Link, now: float) -> None:
        """Backs off after Busy and tries any peer that is ahead."""
        if link is self.asked:
            self._back_off(now)

    def lost(self, link: Link, now: float) -> None:
        """Forgets a request to a peer whose link was lost."""
        if link is self.asked:
            self._back_off(now)

    def take_chunk(self, link: Link, chunk: StateChunk, now: float) -> bool:
        """Takes a part of a snapshot.

        Returns:
          Whether the state was replaced.
        """
        self.saw_offset(link, chunk.offset, now)
        if link is not self.asked or chunk.offset <= self.store.offset:
            return False
        first = next(iter(self.chunks.values()), chunk)
        if first.offset != chunk.offset:
            self.chunks.clear()
        self.chunks[chunk.index] = chunk
        self.asked_at = now
        if len(self.chunks) < chunk.count:
            return False
        return self._load(chunk.offset, now)

    def tick(self, now: float) -> None:
        """Repeats requests without an answer and starts due ones."""
        if self.server.transfers:
            self.server.tick(now)
        if self.highest <= self.store.offset:
            self.behind_since = None
            return
        timeout = self.settings.request_timeout_s
        if self.asked is not None and now - self.asked_at >= timeout:
            self._back_off(now)
        since = self.behind_since
        if since is None or now - since < self.settings.graft_delay_s:
            return
        if self._may_ask(now):
            self._ask_any(now)

    def _ask_any(self, now: float) -> None:
        ahead = [
            link
            for link in self.links.by_instance.values()
            if link.offset > self.store.offset
        ]
        if not ahead:
            # The peers that reported it are gone; others may not have it.
            self.highest = 0
            return
        link = self.rng.choice(ahead)
        link.eager = True
        self._ask(link, Graft(self.store.offset), now)

    def _may_ask(self, now: float) -> bool:
        return self.asked is None and now >= self.retry_at

    def _ask(
        self, link: Link, message: Graft | StateRequest, now: float
    ) -> None:
        self.asked = link
        self.asked_at = now
        self.links.send(link, message)

    def _clear(self) -> None:
        self.asked = None
        self.chunks.clear()

    def _back_off(self, now: float) -> None:
        self._clear()
        self.refusals += 1
        self.retry_at = now + self.dialer.backoff(self.refusals)

    def _load(self, offset: int, now: float) -> bool:
        parts = [self.chunks[index].data for index in sorted(self.chunks)]
        before = self.store.offset
        loaded = self.store.load_snapshot(b"".join(parts))
        if not loaded or self.store.offset <= before:
            self._back_off(now)
            return False
        self._clear()
        self.links.out.append(StateLoaded(self.store.offset))
        self.broadcaster.discard_old()
        self.broadcaster.apply_pending(None)
        self.advanced(now)
        return True
