"""Serving of state snapshots to a limited number of peers."""

from vanillamast_core.peers.entry_store import EntryStore
from vanillamast_core.peers.link import Link
from vanillamast_core.peers.link_messages import Busy, StateChunk
from vanillamast_core.peers.link_table import LinkTable
from vanillamast_core.peers.settings import PeerSettings
from vanillamast_core.peers.snapshot_transfer import SnapshotTransfer

BUSY_RETRY_S = 0.5  # About the time of one transfer.


class SnapshotServer:
    """Sends the state in chunks to a few peers at a time.

    A slot is free again when the peer's offset shows that it has the state,
    when its link is lost, or after a timeout.

    Attributes:
      settings: Limits.
      store: The state.
      links: Links of this node.
      transfers: Running transfers by link.
      cached_chunks: Chunks of the last encoded snapshot.
    """

    def __init__(
        self, settings: PeerSettings, store: EntryStore, links: LinkTable
    ):
        self.settings = settings
        self.store = store
        self.links = links
        self.transfers: dict[int, SnapshotTransfer] = {}
        self.cached_chunks: tuple[StateChunk, ...] = ()

    def start_transfer(self, link: Link, now: float) -> None:
        """Starts a transfer, or replies Busy if all slots are taken."""
        if link.id in self.transfers:
            return
        if len(self.transfers) >= self.settings.snapshots_served:
            self.links.send(link, Busy(BUSY_RETRY_S))
            return
        chunks = self._encode_chunks()
        offset = chunks[0].offset
        transfer = SnapshotTransfer(offset, chunks, now)
        self.transfers[link.id] = transfer
        self._send_next_chunks(link, transfer)

    def tick(self, now: float) -> None:
        """Sends the next chunks of each transfer and frees slots."""
        for link_id, transfer in list(self.transfers.items()):
            link = self.links.by_id.get(link_id)
            expired = (
                now - transfer.started_at >= self.settings.snapshot_timeout_s
            )
            if link is None or expired or link.offset >= transfer.offset:
                del self.transfers[link_id]
            else:
                self._send_next_chunks(link, transfer)

    def _send_next_chunks(self, link: Link, transfer: SnapshotTransfer) -> None:
        end = transfer.sent_count + self.settings.snapshot_chunks_per_tick
        for chunk in transfer.chunks[transfer.sent_count : end]:
            self.links.send(link, chunk)
        transfer.sent_count = min(end, len(transfer.chunks))

    def _encode_chunks(self) -> tuple[StateChunk, ...]:
        offset = self.store.offset
        if self.cached_chunks and self.cached_chunks[0].offset == offset:
            return self.cached_chunks
        data = self.store.snapshot()
        size = self.settings.snapshot_chunk_bytes
        parts = [data[i : i + size] for i in range(0, len(data), size)] or [b""]
        self.cached_chunks = tuple(
            StateChunk(offset, index, len(parts), part)
            for index, part in enumerate(parts)
        )
        return self.cached_chunks
