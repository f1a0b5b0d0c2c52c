"""Broadcast of log entries on eager links (Plumtree)."""

from collections.abc import Sequence

from vanillamast_core.errors import CodecError
from vanillamast_core.journal import LogEntry, SnapshotChunk, record_codec
from vanillamast_core.peers.effects import EntriesApplied
from vanillamast_core.peers.entry_store import EntryStore
from vanillamast_core.peers.link import Link
from vanillamast_core.peers.link_messages import Entries, Graft
from vanillamast_core.peers.link_table import LinkTable
from vanillamast_core.peers.settings import PeerSettings

UNDECODED_MAX_BYTES = 4096  # Entries up to this size are not decoded.


def strip_snapshot_payload(entry: LogEntry) -> LogEntry:
    """Returns an entry for relaying, without the data of a SnapshotChunk.

    Chunks don't change the state and are needed only by nodes that read the
    log itself, so their 48 KB each are not relayed.
    """
    if len(entry.data) <= UNDECODED_MAX_BYTES:
        return entry
    try:
        record = record_codec.decode(entry.data)
    except CodecError:
        return entry
    if not isinstance(record, SnapshotChunk):
        return entry
    stripped = SnapshotChunk(
        id=record.id,
        based_on=record.based_on,
        offset=record.offset,
        index=record.index,
        count=record.count,
        data=b"",
        digest=record.digest,
    )
    return LogEntry(entry.offset, record_codec.encode(stripped))


class EntryBroadcaster:
    """Applies entries in offset order and pushes them on eager links.

    Attributes:
      settings: Limits.
      store: The state built from the log.
      links: Links of this node.
      pending: Entries that wait for an earlier one, by offset.
      parent: Link on which the last new entry arrived: the parent in the
        broadcast tree.
    """

    def __init__(
        self, settings: PeerSettings, store: EntryStore, links: LinkTable
    ):
        self.settings = settings
        self.store = store
        self.links = links
        self.pending: dict[int, LogEntry] = {}
        self.parent: Link | None = None

    def handle_link_lost(self, link: Link) -> None:
        """Grafts the links to all peers if the parent's link was lost.

        Otherwise possibly no peer pushes to this node, or only one that
        receives its own entries from here, and only a heartbeat would show
        the next entry. Links that then bring duplicates are pruned again.
        """
        if link is self.parent:
            self.parent = None
            self.links.flood(Graft(self.store.offset))

    def add_entries(
        self, entries: Sequence[LogEntry], source: Link | None
    ) -> bool:
        """Adds entries in any order, from the log or a peer.

        Returns:
          Whether at least one of them was new.
        """
        fresh = False
        for entry in entries:
            if (
                entry.offset > self.store.offset
                and entry.offset not in self.pending
            ):
                self.pending[entry.offset] = entry
                fresh = True
        if fresh:
            if source is not None:
                self.parent = source
            self.apply_pending(source)
        return fresh

    def apply_pending(self, source: Link | None) -> None:
        """Applies and pushes the entries that follow the store's offset."""
        applied: list[LogEntry] = []
        results: list[object] = []
        while (entry := self.pending.pop(self.store.offset + 1, None)) is not (
            None
        ):
            results.append(self.store.apply(entry))
            applied.append(entry)
            if self.store.offset < entry.offset:
                break
        if applied:
            effect = EntriesApplied(tuple(applied), tuple(results))
            self.links.effects.append(effect)
            self.push_entries(applied, source)
        self._trim_pending()

    def push_entries(
        self, entries: list[LogEntry], source: Link | None
    ) -> None:
        """Sends entries on the eager links whose peers may lack them."""
        relayed = [strip_snapshot_payload(entry) for entry in entries]
        last = relayed[-1].offset
        messages = self.split_into_messages(relayed)
        for link in self.links.by_instance.values():
            if link.eager and link is not source and link.offset < last:
                for message in messages:
                    if link.offset < message.entries[-1].offset:
                        self.links.send(link, message)

    def send_entries(self, link: Link, entries: list[LogEntry]) -> None:
        """Sends a peer the entries that it requested."""
        for message in self.split_into_messages(
            [strip_snapshot_payload(entry) for entry in entries]
        ):
            self.links.send(link, message)

    def split_into_messages(self, entries: list[LogEntry]) -> list[Entries]:
        """Splits entries into messages of bounded size."""
        if len(entries) == 1:
            return [Entries((entries[0],))]
        messages: list[Entries] = []
        batch: list[LogEntry] = []
        size = 0
        for entry in entries:
            if batch and size + len(entry.data) > self.settings.frame_bytes:
                messages.append(Entries(tuple(batch)))
                batch, size = [], 0
            batch.append(entry)
            size += len(entry.data)
        if batch:
            messages.append(Entries(tuple(batch)))
        return messages

    def discard_applied(self) -> None:
        """Drops pending entries that a loaded snapshot contains."""
        for offset in [o for o in self.pending if o <= self.store.offset]:
            del self.pending[offset]

    def _trim_pending(self) -> None:
        """Keeps the lowest offsets; the others are requested again."""
        excess = len(self.pending) - self.settings.pending_entries
        if excess > 0:
            for offset in sorted(self.pending)[-excess:]:
                del self.pending[offset]
