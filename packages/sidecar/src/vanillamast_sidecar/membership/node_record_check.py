"""Checks records of nodes that another writer may have left in the store."""

import math

from vanillamast_sidecar.membership.heartbeat import (
    MAX_BORN_MS,
    MAX_SEQUENCE,
    MAX_SLOTS,
)
from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.membership.ip_address import is_ip_address
from vanillamast_sidecar.membership.node_record import NodeRecord

# A process that started later than this is not one of this fleet, whose clocks
# differ by seconds.
MAX_CLOCK_LEAD_MS = 86_400_000


def find_defect(record: NodeRecord, now_ms: int) -> str:
    """Returns why a record names no node, "" if it may name one.

    Args:
      record: The record.
      now_ms: Current time, in Unix milliseconds.
    """
    if not is_ip_address(record.address):
        return "address is not IP:port"
    if not 0 <= record.incarnation <= now_ms + MAX_CLOCK_LEAD_MS:
        return "incarnation out of range"
    if not 0 <= record.revision <= MAX_SEQUENCE:
        return "revision out of range"
    if record.instance is not None and not _is_in_range(record.instance):
        return "instance out of range"
    if not all(facts.valid for facts in record.facts):
        return "facts out of range"
    return ""


def _is_in_range(instance: InstanceRecord) -> bool:
    limit = instance.rate_limit
    return (
        0 <= instance.born_ms <= MAX_BORN_MS
        and 0 <= instance.sequence <= MAX_SEQUENCE
        and 1 <= instance.slots <= MAX_SLOTS
        and math.isfinite(instance.cold_s)
        and (limit is None or (math.isfinite(limit) and limit >= 0.0))
    )
