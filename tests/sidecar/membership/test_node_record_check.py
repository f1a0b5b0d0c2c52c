"""Tests of the check of records from the store's list of nodes."""

import math

import msgspec
import pytest
from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.membership.node_record_check import (
    MAX_CLOCK_LEAD_MS,
    find_defect,
)

NOW_MS = 1_780_978_095_310
INSTANCE = InstanceRecord(
    "i-1", NOW_MS, 4, "s", "v1", 9, True, False, 1.5, "10.0.0.1:80", 20.0
)
RECORD = NodeRecord("10.0.0.1:7620", "a", NOW_MS, 3, False, INSTANCE)


class TestFindDefect:
    """A record that names no node is left out, and no other one is."""

    @pytest.mark.parametrize(
        "change",
        [
            {},
            {"instance": None},
            {"address": "::1:7620"},
            {"incarnation": NOW_MS + MAX_CLOCK_LEAD_MS},
        ],
    )
    def test_a_record_of_a_node_is_taken(self, change):
        """Guards against nodes that do not find each other."""
        record = msgspec.structs.replace(RECORD, **change)
        assert find_defect(record, NOW_MS) == ""

    @pytest.mark.parametrize(
        "address",
        [
            "",
            "10.0.0.1",
            "10.0.0.1:",
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.1:-1",
            "10.0.0.1:x",
            "10.0.0.1:\u0663",
            "10.0.0.1:" + "9" * 5000,
            "10.0.0.256:80",
            "host:80",
            ":80",
        ],
    )
    def test_an_address_out_of_range_is_a_defect(self, address):
        """Guards against connections that fail with an unexpected error."""
        record = msgspec.structs.replace(RECORD, address=address)
        assert find_defect(record, NOW_MS)

    @pytest.mark.parametrize(
        "change",
        [
            {"incarnation": 2**64 - 1},
            {"incarnation": -1},
            {"revision": 2**63},
            {"revision": -1},
        ],
    )
    def test_a_number_out_of_range_is_a_defect(self, change):
        """Guards against a record that no later one can replace."""
        record = msgspec.structs.replace(RECORD, **change)
        assert find_defect(record, NOW_MS)

    @pytest.mark.parametrize(
        "change",
        [
            {"born_ms": 2**63},
            {"sequence": -1},
            {"slots": 0},
            {"slots": 2**40},
            {"cold_s": math.inf},
            {"rate_limit": math.nan},
            {"rate_limit": -1.0},
        ],
    )
    def test_a_server_out_of_range_is_a_defect(self, change):
        """Guards against a server whose state no calculation bears."""
        instance = msgspec.structs.replace(INSTANCE, **change)
        record = msgspec.structs.replace(RECORD, instance=instance)
        assert find_defect(record, NOW_MS)
