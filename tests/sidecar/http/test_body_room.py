"""Tests of the room for long request bodies."""

import sys

import pytest
from vanillamast_sidecar.http.body_room import BODY_COPIES, get_body_room
from vanillamast_sidecar.http.caller_limits import CallerLimits

MB = 1 << 20


class TestBodyRoom:
    """The room follows from the memory of the process."""

    def test_the_largest_body_fits_the_reference_machine(self):
        """Guards against a published limit that no request can use."""
        assert get_body_room(300 * MB) >= CallerLimits().body_bytes

    @pytest.mark.parametrize("memory_mb", [1, 60, 128, 150, 300, 552])
    def test_all_copies_fit_the_memory(self, memory_mb):
        """Guards against bodies that take a process over its memory."""
        room = get_body_room(memory_mb * MB)
        assert 0 <= room * BODY_COPIES <= memory_mb * MB

    def test_there_is_no_limit_without_one(self):
        """Guards against refusals where the memory is not limited."""
        assert get_body_room(0) == sys.maxsize
