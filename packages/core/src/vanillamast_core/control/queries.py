"""Queries that operators can send to a node."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from vanillamast_core.announcement import Announcement
from vanillamast_core.moves import Move
from vanillamast_core.registry import Registry
from vanillamast_core.server_state import ServerState

if TYPE_CHECKING:
    from vanillamast_core.control.node_core import NodeCore

Query = Callable[["NodeCore", dict[str, Any], float], Any]

# Queries by name; each takes the core, the parameters of the call and the
# wall time, and returns JSON values.
queries: Registry[Query] = Registry("query")


@queries.register("status")
def show_status(
    core: "NodeCore", params: dict[str, Any], wall: float
) -> dict[str, Any]:
    """Returns this node's identity and state."""
    state = core.journal.state
    own = core.mesh.own
    return {
        "instance": own.instance,
        "region": own.region,
        "failure_domain": own.failure_domain,
        "service": own.service,
        "server_version": own.server_version,
        "server_state": own.state.name.lower(),
        "offset": core.journal.offset,
        "digest": core.journal.digest().hex(),
        "version": state.version,
        "label": state.label,
        "applied_version": core.data_plane.table.applied_version,
        "state": node_state(core),
        "links": core.mesh.count_links(),
        "reading_log": core.mesh.reading_log,
        "instances": len(core.mesh.directory.records),
        "dead": sorted(core.mesh.directory.dead),
    }


@queries.register("configuration")
def show_configuration(
    core: "NodeCore", params: dict[str, Any], wall: float
) -> dict[str, Any]:
    """Returns the newest configuration in the log and its version."""
    state = core.journal.state
    return {
        "version": state.version,
        "label": state.label,
        "offset": core.journal.offset,
        "configuration": msgspec.to_builtins(state.configuration),
    }


@queries.register("routes")
def show_routes(
    core: "NodeCore", params: dict[str, Any], wall: float
) -> dict[str, Any]:
    """Returns this node's routes with their servers and splits."""
    table = core.data_plane.table
    routes = [
        {
            "name": name,
            **msgspec.to_builtins(route),
            "servers": route_servers(core, route.service),
            "split": route_split(core, route.service),
        }
        for name, route in sorted(table.routes.items())
        if params.get("service", route.service) == route.service
    ]
    return {"applied_version": table.applied_version, "routes": routes}


@queries.register("moves")
def show_moves(
    core: "NodeCore", params: dict[str, Any], wall: float
) -> dict[str, Any]:
    """Returns all moves in the state."""
    moves = sorted(
        core.journal.state.moves.values(), key=lambda m: m.started_at
    )
    return {
        "offset": core.journal.offset,
        "moves": [describe_move(core, move, wall) for move in moves],
    }


@queries.register("instances")
def show_instances(
    core: "NodeCore", params: dict[str, Any], wall: float
) -> dict[str, Any]:
    """Returns the instances that this node knows."""
    directory = core.mesh.directory
    instances = []
    for name in sorted(directory.records):
        announcement = directory.get_announcement(name)
        assert announcement is not None
        if params.get("service", announcement.service) == announcement.service:
            instances.append(describe_instance(core, announcement))
    return {"instances": instances}


def node_state(core: "NodeCore") -> str:
    """Returns "starting", "serving" or "draining"."""
    if core.stopping:
        return "draining"
    if core.data_plane.table.applied_version == 0:
        return "starting"
    return "serving"


def route_servers(core: "NodeCore", service: str) -> list[dict[str, Any]]:
    """Returns a service's backend servers and why some are not used."""
    set_servers = core.data_plane.servers.get(service)
    used = {a.instance for a in set_servers.servers} if set_servers else set()
    return [
        {
            **describe_instance(core, announcement),
            "used": announcement.instance in used,
            "reason": unused_reason(core, announcement),
        }
        for announcement in core.mesh.directory.get_known(service)
    ]


def route_split(core: "NodeCore", service: str) -> dict[str, Any] | None:
    """Returns how a service's requests are split, None outside a move."""
    split = core.data_plane.splits.get(service)
    if split is None:
        return None
    return {"old": split.old, "new": split.new, "share": split.share}


def unused_reason(core: "NodeCore", announcement: Announcement) -> str:
    """Returns why a backend server gets no new requests, "" if it gets them."""
    directory = core.mesh.directory
    liveness = directory.get_liveness(announcement.instance)
    if liveness:
        return liveness.name.lower()
    if announcement.leaving:
        return "leaving"
    if announcement.instance in directory.drained:
        return "drained"
    if announcement.state is not ServerState.SERVING:
        return announcement.state.name.lower()
    return ""


def describe_move(core: "NodeCore", move: Move, wall: float) -> dict[str, Any]:
    """Returns a move as JSON values, with this node's alarm if there is one."""
    alarm = core.mesh.alarms.moves.get(move.started_at, "")
    return {
        "name": move.name,
        "started_at": move.started_at,
        **msgspec.to_builtins(move.spec),
        "state": str(move.state),
        "step": move.step,
        "share": 0.0 if alarm else move.share,
        "changed_at": move.changed_at,
        "reason": move.reason or alarm,
        "seconds_left": round(move.spec.deadline - wall, 1),
    }


def describe_instance(
    core: "NodeCore", announcement: Announcement
) -> dict[str, Any]:
    """Returns an announcement and its liveness as JSON values."""
    liveness = core.mesh.directory.get_liveness(announcement.instance)
    return {
        "instance": announcement.instance,
        "failure_domain": announcement.failure_domain,
        "region": announcement.region,
        "service": announcement.service,
        "version": announcement.server_version,
        "address": announcement.server_address,
        "operator_address": announcement.operator_address,
        "state": announcement.state.name.lower(),
        "liveness": liveness.name.lower() if liveness is not None else "",
        "leaving": announcement.leaving,
        "incarnation": announcement.incarnation,
    }
