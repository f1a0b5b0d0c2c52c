"""Tests of the records of the platform log's stand-in."""

import pathlib
import tempfile

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st
from vanillamast_testing import (
    AppendRateError,
    PlatformLogSettings,
    PlatformLogStore,
)

SETTINGS = PlatformLogSettings(retain_count=8, retain_s=10, appends_per_s=2)


class StoreMachine(stateful.RuleBasedStateMachine):
    """Compares the store with a list of all appended records."""

    def __init__(self):
        super().__init__()
        self.folder = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self.folder.name) / "log"
        self.store = PlatformLogStore(SETTINGS, self.path)
        self.appended: list[tuple[float, bytes]] = []
        self.wall = 0.0

    @stateful.rule(data=st.binary(max_size=4))
    def append(self, data: bytes):
        """Appends; a refused append must add nothing."""
        try:
            offset = self.store.append(data, self.wall)
        except AppendRateError:
            assert self.store.next == len(self.appended) + 1
            return
        self.appended.append((self.wall, data))
        assert offset == len(self.appended)

    @stateful.rule(seconds=st.floats(0.1, 6))
    def wait(self, seconds: float):
        """Lets time pass."""
        self.wall += seconds
        self.store.expire(self.wall)

    @stateful.rule(torn=st.booleans())
    def kill_and_restart(self, torn: bool):
        """Restarts from the file, whose last line may be incomplete."""
        if torn and self.path.exists():
            with self.path.open("a") as file:
                file.write('[99, 1.0, "AA')
        self.store = PlatformLogStore(SETTINGS, self.path)
        self.store.expire(self.wall)

    @stateful.rule(after=st.integers(0, 40), limit=st.integers(1, 5))
    def read(self, after: int, limit: int):
        """Reads the same records as the list holds."""
        start = max(after, self.store.first - 1)
        expected = [
            (index + 1, data)
            for index, (_, data) in enumerate(self.appended)
            if index >= start
        ]
        assert self.store.read(after, limit) == expected[:limit]

    @stateful.invariant()
    def retains_only_recent_records(self):
        """Drops exactly what is too old or too many."""
        first = len(self.appended) + 1
        for index in range(len(self.appended), 0, -1):
            too_many = len(self.appended) - index >= SETTINGS.retain_count
            too_old = self.appended[index - 1][0] < self.wall - 10
            if too_many or too_old:
                break
            first = index
        assert self.store.first == first
        assert self.store.next == len(self.appended) + 1

    def teardown(self):
        """Removes the file."""
        self.folder.cleanup()


class TestPlatformLogStore:
    """Offsets, retention, rate and restart."""

    def test_store_fuzz(self):
        """Guards against lost, reused or reordered offsets."""
        stateful.run_state_machine_as_test(
            StoreMachine, settings=hypothesis.settings(max_examples=60)
        )

    def test_rate_refills_with_time(self):
        """Guards against a limit that has no effect or never ends."""
        store = PlatformLogStore(SETTINGS)
        for _ in range(2):
            store.append(b"x", 100.0)
        with pytest.raises(AppendRateError):
            store.append(b"x", 100.4)
        assert store.append(b"x", 100.5) == 3
