"""Records and reports that tests of the hubs share."""

from vanillamast_sidecar.membership.load_report import LoadReport
from vanillamast_sidecar.membership.membership import Membership
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.mesh.messages import NodeHeartbeat

IDLE = LoadReport(0, 0, 0.1, 0.0)
BUSY = LoadReport(4, 2, 0.1, 0.0)


def address(number: int) -> str:
    """Returns the address of a node."""
    return f"10.0.0.{number}:1"


def record(number: int, domain: str = "a", revision: int = 0) -> NodeRecord:
    """Returns the record of a node."""
    return NodeRecord(address(number), domain, 1, revision, False, None)


def membership(own: int, same_domain: list[int], others: list[int]):
    """Returns what a node of domain `a` knows; the others are of `b`."""
    known = Membership(record(own))
    for number in same_domain:
        known.apply_record(record(number), True, 0.0)
    for number in others:
        known.apply_record(record(number, "b"), True, 0.0)
    return known


def heartbeat(load: LoadReport = IDLE, store_age_s: float | None = None):
    """Returns a heartbeat."""
    return NodeHeartbeat(load, 3, 7, store_age_s)
