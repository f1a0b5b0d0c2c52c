"""Tests of the choice of a node to fetch newer operator state from."""

import asyncio
import os
from types import SimpleNamespace

import pytest
from vanillamast_sidecar.errors import StoreUnknownOutcomeError
from vanillamast_sidecar.mesh.messages import FetchOperator, OperatorState
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.operator_state.operator_state_sync import (
    FETCH_JITTER_S,
    PEER_FETCH_DELAY_S,
    READ_TIMEOUT_S,
    REMOTE_FETCH_DELAY_S,
    OperatorStateSync,
)
from vanillamast_sidecar.operator_state.reader_role import ReaderRole
from vanillamast_sidecar.operator_state.reader_timing import ReaderTiming
from vanillamast_sidecar.operator_state.store import OperatorUpdate

from tests.sidecar.hub_fixture import address, membership

TIMING = ReaderTiming.from_apply_s(2.0)


class FakeMesh:
    """Stands in for the mesh of node 5, which knows the hubs 1 and 2.

    Attributes:
      sent: Addresses to which a request for the state was sent.
    """

    def __init__(self):
        self.membership = membership(5, [1, 2], [])
        self.config_version = 36
        self.sent = []

    def send(self, target, message):
        """Sends a message to a node that can be reached."""
        assert isinstance(message, FetchOperator)
        if not self.membership.peers[target].reachable:
            return False
        self.sent.append(target)
        return True


class FakeClock:
    """Stands in for the loop.

    Attributes:
      now: Time, in seconds.
    """

    def __init__(self):
        self.now = 100.0

    def time(self):
        """Returns the time."""
        return self.now


@pytest.fixture
async def sync():
    """Returns the sync of a node that has a configuration."""
    state = SimpleNamespace(offset=7, era=0, snapshot=object())
    log = EventLogger("m", os.open(os.devnull, os.O_WRONLY))
    found = OperatorStateSync(None, FakeMesh(), state, log, Metrics(), TIMING)
    found.loop = FakeClock()
    return found


class TestFetches:
    """A node that is behind asks a node that can answer."""

    async def test_a_lost_reader_does_not_delay_the_fetch(self, sync):
        """Guards against a node that keeps asking one that is gone."""
        peers = sync.mesh.membership.peers
        peers[address(1)].failed = True
        for _ in range(20):
            # The lost reader's version comes first in each report.
            sync.handle_versions(peers[address(1)], 40, 8)
            sync.handle_versions(peers[address(2)], 44, 9)
            sync.loop.now += 0.1
        assert set(sync.mesh.sent) == {address(2)}

    async def test_a_fetch_is_repeated_only_after_a_while(self, sync):
        """Guards against a flood of requests while an answer is on its way."""
        peer = sync.mesh.membership.peers[address(1)]
        sync.handle_versions(peer, 40, 8)
        sync.loop.now += PEER_FETCH_DELAY_S
        for _ in range(5):
            sync.handle_versions(peer, 40, 8)
        assert len(sync.mesh.sent) == 1

    async def test_a_refused_state_is_not_fetched_at_once(self, sync):
        """Guards against a loop of fetches between nodes of two builds."""
        peer = sync.mesh.membership.peers[address(1)]
        sync.store = SimpleNamespace(note_era=lambda era: None)
        sync.state.apply_peer_state = lambda message: False
        for _ in range(50):
            before = len(sync.mesh.sent)
            sync.handle_versions(peer, 40, 8)
            if len(sync.mesh.sent) > before:
                sync.handle_operator_state(OperatorState(8, b"?", [], []))
            sync.loop.now += 0.1
        assert 4 <= len(sync.mesh.sent) <= 5

    async def test_a_later_era_is_fetched(self, sync):
        """Guards against a refused node that stays in the earlier era."""
        peer = sync.mesh.membership.peers[address(1)]
        sync.handle_versions(peer, 36, 2, 1)
        sync.loop.now += PEER_FETCH_DELAY_S
        sync.handle_versions(peer, 36, 2, 1)
        assert len(sync.mesh.sent) == 1

    async def test_an_earlier_era_is_not_fetched(self, sync):
        """Guards against fetches from nodes that are behind themselves."""
        sync.state.era = 1
        peer = sync.mesh.membership.peers[address(1)]
        for _ in range(5):
            sync.handle_versions(peer, 36, 90, 0)
            sync.loop.now += 0.2
        assert sync.mesh.sent == []

    async def test_the_store_client_learns_the_era_of_a_peer(self, sync):
        """Guards against a late answer of the earlier era."""
        eras = []
        sync.store = SimpleNamespace(note_era=eras.append)
        sync.state.apply_peer_state = lambda _: None
        sync.handle_operator_state(OperatorState(2, b"", [], [], era=3))
        assert eras == [3]

    async def test_a_node_that_is_not_behind_does_not_fetch(self, sync):
        """Guards against fetches at rest."""
        peer = sync.mesh.membership.peers[address(1)]
        for _ in range(5):
            sync.handle_versions(peer, 36, 7)
            sync.loop.now += 0.2
        assert sync.mesh.sent == []


class SilentStore:
    """Stands in for a store that answers nothing until it returns.

    Attributes:
      era: Era of the store.
      returned: Whether it answers.
      polls: Long polls that it answered.
    """

    def __init__(self):
        self.era = 0
        self.returned = False
        self.polls = 0

    async def poll_operator(self, offset, wait_s, on_progress):
        """Hangs if the store was silent when the call was made."""
        if not self.returned:
            await asyncio.sleep(wait_s)
            raise StoreUnknownOutcomeError("no answer")
        self.polls += 1
        await asyncio.sleep(wait_s)


class TestOutages:
    """A node that begins to read while the store is silent."""

    async def test_the_return_of_the_store_is_noticed(self, sync):
        """Guards against a long poll that hangs on a silent store."""
        sync.loop = asyncio.get_running_loop()
        sync.store = SilentStore()
        sync.state.offset = 7
        sync._change_role(ReaderRole.READER)
        await asyncio.sleep(0.05)
        sync.store.returned = True
        async with asyncio.timeout(10.0):
            while not sync.store.polls:
                await asyncio.sleep(0.01)
        sync._change_role(ReaderRole.NONE)


class SlowStore:
    """Stands in for a store whose reads wait for the test.

    Attributes:
      era: Era of the store.
      updates: Responses to reads.
      on_progress: Reports a part of the next response.
    """

    def __init__(self):
        self.era = 0
        self.updates = asyncio.Queue()
        self.on_progress = None

    async def poll_operator(self, offset, wait_s, on_progress):
        """Returns the next response."""
        del offset, wait_s
        return await self.read_operator_state(on_progress)

    async def read_operator_state(self, on_progress):
        """Returns the next response."""
        self.on_progress = on_progress
        return await self.updates.get()


class TestReaders:
    """Other nodes rely on a reader only if it has the newest version."""

    @pytest.fixture
    async def reader(self, sync):
        """Returns a node that has begun to read a slow store."""
        sync.loop = asyncio.get_running_loop()
        sync.store = SlowStore()
        sync.state.apply_update = lambda update: False
        sync._change_role(ReaderRole.READER)
        yield sync
        sync._change_role(ReaderRole.NONE)

    def is_relied_on(self, reader):
        """Returns whether other nodes rely on a node."""
        age_s = reader.mesh.get_store_age_s()
        return age_s is not None and age_s <= TIMING.freshness_s

    async def wait_for_read(self, reader):
        """Waits until the node has read."""
        async with asyncio.timeout(10.0):
            while not self.is_relied_on(reader):
                await asyncio.sleep(0.01)

    async def test_a_node_that_has_not_read_is_no_reader(self, reader):
        """Guards against a domain that relies on nodes without a read."""
        for _ in range(3):
            reader._set_connected(True, "")
            await asyncio.sleep(0)
        assert not self.is_relied_on(reader)
        reader.store.updates.put_nowait(OperatorUpdate(8, None, []))
        await self.wait_for_read(reader)

    async def test_a_node_that_is_behind_is_no_reader(self, reader):
        """Guards against a domain that relies on a reader on a slow link."""
        reader.store.updates.put_nowait(OperatorUpdate(8, None, []))
        await self.wait_for_read(reader)
        behind = OperatorUpdate(9, None, [], end_offset=12)
        reader.store.updates.put_nowait(behind)
        async with asyncio.timeout(10.0):
            while self.is_relied_on(reader):
                await asyncio.sleep(0.01)
        reader._set_connected(True, "")
        reader.store.on_progress()
        assert not self.is_relied_on(reader)

    async def test_a_reader_that_catches_up_at_once_counts(self, reader):
        """Guards against takeovers at each step of a storm of changes."""
        reader.store.updates.put_nowait(OperatorUpdate(8, None, []))
        await self.wait_for_read(reader)
        for offset in range(9, 40, 2):
            behind = OperatorUpdate(offset, None, [], end_offset=offset + 1)
            reader.store.updates.put_nowait(behind)
            await asyncio.sleep(0.01)
            assert self.is_relied_on(reader)
            reader.store.updates.put_nowait(OperatorUpdate(offset, None, []))
            await asyncio.sleep(0.01)
            assert self.is_relied_on(reader)

    async def test_a_standby_is_no_reader(self, reader):
        """Guards against a domain that relies on a long poll."""
        reader.store.updates.put_nowait(OperatorUpdate(8, None, []))
        await self.wait_for_read(reader)
        reader._change_role(ReaderRole.STANDBY)
        assert reader.mesh.get_store_age_s() is None

    async def test_a_reader_counts_while_a_change_arrives(self, reader):
        """Guards against takeovers at each change on a slow link."""
        await asyncio.sleep(0.01)
        reader.store.on_progress()
        # It has not read anything yet.
        assert not self.is_relied_on(reader)
        reader.store.updates.put_nowait(OperatorUpdate(8, None, []))
        await self.wait_for_read(reader)
        waited_s = 0.0
        while waited_s < 2 * TIMING.freshness_s:
            reader.store.on_progress()
            assert reader.mesh.get_store_age_s() < 0.1
            await asyncio.sleep(0.1)
            waited_s += 0.1

    async def test_a_response_that_arrives_is_no_lost_store(self, reader):
        """Guards against long responses that are given up and begun again."""
        await asyncio.sleep(0.01)
        on_progress = reader.store.on_progress
        waited_s = 0.0
        while waited_s < 2 * READ_TIMEOUT_S:
            reader.store.on_progress()
            await asyncio.sleep(0.1)
            waited_s += 0.1
        assert reader.store.on_progress is on_progress

    async def test_a_response_that_stops_to_arrive_is_given_up(self, reader):
        """Guards against a reader that waits for the rest of a response."""
        await asyncio.sleep(0.01)
        on_progress = reader.store.on_progress
        on_progress()
        async with asyncio.timeout(10.0):
            while reader.store.on_progress is on_progress:
                await asyncio.sleep(0.01)


class TestOtherDomains:
    """A failure domain that the store turns away hears of changes."""

    def peer(self, sync):
        """Returns a hub of another failure domain."""
        peer = sync.mesh.membership.peers[address(1)]
        peer.same_domain = False
        return peer

    async def test_a_domain_without_the_store_fetches_at_once(self, sync):
        """Guards against old routes while the store refuses one domain."""
        sync.handle_versions(self.peer(sync), 40, 8)
        sync.loop.now += PEER_FETCH_DELAY_S
        sync.handle_versions(self.peer(sync), 40, 8)
        assert len(sync.mesh.sent) == 1

    async def test_a_domain_with_the_store_waits_for_it(self, sync):
        """Guards against each change crossing domains for nothing."""
        waited_s = 0.0
        while not sync.mesh.sent:
            sync.contact.handle_answer(sync.loop.now)
            sync.handle_versions(self.peer(sync), 40, 8)
            sync.loop.now += 0.1
            waited_s += 0.1
            assert waited_s < 2 * REMOTE_FETCH_DELAY_S
        assert waited_s > REMOTE_FETCH_DELAY_S - FETCH_JITTER_S

    async def test_an_old_answer_of_the_store_is_no_reason_to_wait(self, sync):
        """Guards against a former reader that waits for a silent store."""
        sync.contact.handle_answer(sync.loop.now)
        sync.loop.now += TIMING.silence_s + 0.1
        sync.handle_versions(self.peer(sync), 40, 8)
        sync.loop.now += PEER_FETCH_DELAY_S
        sync.handle_versions(self.peer(sync), 40, 8)
        assert len(sync.mesh.sent) == 1

    async def test_a_reader_of_the_domain_is_waited_for(self, sync):
        """Guards against hubs that all fetch a change from other domains."""
        reader = sync.mesh.membership.peers[address(2)]
        for _ in range(int(PEER_FETCH_DELAY_S / 0.1) + 2):
            reader.store_contact_at = sync.loop.now
            sync.handle_versions(self.peer(sync), 40, 8)
            sync.loop.now += 0.1
        assert sync.mesh.sent == []
