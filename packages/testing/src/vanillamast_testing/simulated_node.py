"""One node in the in-memory network."""

import dataclasses
from collections.abc import Callable

from vanillamast_core import Announcement
from vanillamast_core.peers import Mesh

from vanillamast_testing.memory_entry_store import MemoryEntryStore
from vanillamast_testing.simulated_link import SimulatedLink


@dataclasses.dataclass(slots=True)
class SimulatedNode:
    """A node's process and the events that wait for it.

    Attributes:
      announcement: First announcement of the process.
      mesh: The mesh, None while the process is down.
      store: The store of the log's entries.
      generation: Counts the starts and ends of the process; events of an
        earlier generation are dropped.
      paused: Whether the process is stopped; its events wait.
      reachable: Whether the machine answers while the process is down.
      deferred: Events that arrived during the pause.
      links: Links by id.
      reads_log: Whether the mesh asked to read the log.
      log_cut: Whether this node's reads of the log hang.
      alarms: Raised alarms.
      evidence: Received evidence cells.
      cpu_s: Processor time spent in the mesh.
      sent_bytes: Bytes sent, with framing.
      applied_at: Time of the first application by offset.
    """

    announcement: Announcement
    mesh: Mesh | None
    store: MemoryEntryStore
    generation: int = 0
    paused: bool = False
    reachable: bool = True
    deferred: list[Callable[[], None]] = dataclasses.field(default_factory=list)
    links: dict[int, SimulatedLink] = dataclasses.field(default_factory=dict)
    reads_log: bool = False
    log_cut: bool = False
    alarms: dict[int, str] = dataclasses.field(default_factory=dict)
    evidence: list[object] = dataclasses.field(default_factory=list)
    cpu_s: float = 0.0
    sent_bytes: int = 0
    applied_at: dict[int, float] = dataclasses.field(default_factory=dict)
