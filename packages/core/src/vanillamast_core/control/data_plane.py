"""Routes, servers and traffic splits for a node's request path."""

from collections.abc import Callable, Collection

from vanillamast_core.announcement import Announcement
from vanillamast_core.configuration import (
    AddServices,
    RemoveServices,
    RoutingTable,
    SwitchRoutes,
    TableStep,
)
from vanillamast_core.control.effects import (
    ClearSplit,
    DropService,
    RequestEffect,
    SetRoutes,
    SetServers,
    SetSplit,
)
from vanillamast_core.journal import MeshState
from vanillamast_core.moves import Move
from vanillamast_core.peers import InstanceDirectory
from vanillamast_core.server_state import ServerState

IsAlarmed = Callable[[int], bool]


class DataPlane:
    """Derives the request path's state from the log's state and membership.

    Only changes are returned, ordered so that a route never names a service
    that the request path does not have.

    Attributes:
      table: The applied routes and services.
      directory: The known instances.
      servers: Backend servers that were last returned, by service.
      splits: Splits that were last returned, by service.
    """

    def __init__(self, table: RoutingTable, directory: InstanceDirectory):
        self.table = table
        self.directory = directory
        self.servers: dict[str, SetServers] = {}
        self.splits: dict[str, SetSplit] = {}

    def refresh(
        self,
        state: MeshState,
        alarmed: IsAlarmed,
        now: float,
        changed: Collection[str] | None = None,
    ) -> list[RequestEffect]:
        """Returns what changed for the request path.

        Args:
          state: The state from the log.
          alarmed: Whether a move, by `Move.started_at`, was rolled back by an
            alarm that the log may not hold yet.
          now: Monotonic time in seconds.
          changed: Services whose backend servers changed while nothing else
            did; None if anything may have changed. It saves work because a
            node that serves callers holds all services, and instances change
            one at a time.
        """
        steps = self.table.update(
            state.version, state.configuration, now, self.has_usable
        )
        effects: list[RequestEffect] = []
        moves = active_moves(state)
        for step in steps:
            effects += self._apply_step(step, moves)
        if changed is None or steps:
            changed = set(self.table.services)
        for service in sorted(self.table.services.keys() & set(changed)):
            effects += self._update_servers(service, moves)
            effects += self._update_split(service, state, moves, alarmed)
        return effects

    def has_usable(self, service: str) -> bool:
        """Returns whether a usable backend server of a service is known."""
        return bool(self.directory.get_usable(service))

    def _apply_step(
        self, step: TableStep, moves: dict[str, Move]
    ) -> list[RequestEffect]:
        if isinstance(step, AddServices):
            return [
                effect
                for service in step.services
                for effect in self._update_servers(service, moves)
            ]
        if isinstance(step, SwitchRoutes):
            return [
                SetRoutes(
                    step.version,
                    dict(step.routes),
                    dict(self.table.classes),
                    dict(self.table.services),
                    step.unready,
                )
            ]
        assert isinstance(step, RemoveServices)
        for service in step.services:
            self.servers.pop(service, None)
            self.splits.pop(service, None)
        return [DropService(service) for service in step.services]

    def _update_servers(
        self, service: str, moves: dict[str, Move]
    ) -> list[RequestEffect]:
        effect = self._choose_servers(service, moves.get(service))
        if self.servers.get(service) == effect:
            return []
        self.servers[service] = effect
        return [effect]

    def _choose_servers(self, service: str, move: Move | None) -> SetServers:
        """Returns the usable backend servers of a service.

        For a version without a usable one, the servers last known to serve are
        used: a false suspicion must not leave callers without a server.
        """
        usable = self.directory.get_usable(service)
        present = {announcement.server_version for announcement in usable}
        wanted = {self.table.services[service].version}
        if move is not None:
            wanted |= {move.spec.old, move.spec.new}
        missing = wanted - present
        fallback = [
            announcement
            for announcement in self.directory.get_known(service)
            if announcement.server_version in missing
            and reports_serving(announcement)
            and announcement.instance not in self.directory.drained
        ]
        return SetServers(service, (*usable, *fallback), bool(fallback))

    def _update_split(
        self,
        service: str,
        state: MeshState,
        moves: dict[str, Move],
        alarmed: IsAlarmed,
    ) -> list[RequestEffect]:
        wanted = self._choose_split(service, state, moves, alarmed)
        if wanted == self.splits.get(service):
            return []
        if wanted is None:
            del self.splits[service]
            return [ClearSplit(service)]
        self.splits[service] = wanted
        return [wanted]

    def _choose_split(
        self,
        service: str,
        state: MeshState,
        moves: dict[str, Move],
        alarmed: IsAlarmed,
    ) -> SetSplit | None:
        move = moves.get(service)
        if move is not None:
            share = 0.0 if alarmed(move.started_at) else move.share
            return SetSplit(service, move.spec.old, move.spec.new, share)
        settled = state.settled_version(service, self.table.applied_version)
        if settled is None:
            return None
        # The configuration with the settled move's version is not applied yet,
        # because the node waits for servers of other services. The traffic
        # must not return to the old version meanwhile.
        applied = self.table.services[service].version
        return SetSplit(service, applied, settled, 1.0)


def active_moves(state: MeshState) -> dict[str, Move]:
    """Returns the moves that have not ended, by service."""
    return {
        move.spec.service: move
        for move in state.moves.values()
        if not move.state.final
    }


def reports_serving(announcement: Announcement) -> bool:
    """Returns whether an instance last announced that it serves."""
    return (
        announcement.state is ServerState.SERVING and not announcement.leaving
    )
