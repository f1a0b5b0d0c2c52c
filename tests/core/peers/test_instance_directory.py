"""Tests of the instance directory against a plain dictionary."""

from hypothesis import given, settings
from hypothesis import strategies as st
from vanillamast_core import Announcement, ServerState
from vanillamast_core.peers import InstanceDirectory, LivenessState

NAMES = ["a", "b", "c"]
SERVICES = ["browse", "reader"]

announcements = st.builds(
    Announcement,
    instance=st.sampled_from(NAMES),
    incarnation=st.integers(1, 4),
    region=st.just("r"),
    failure_domain=st.sampled_from(["x", "y"]),
    peer_address=st.just("p:1"),
    service=st.sampled_from(SERVICES),
    state=st.sampled_from(list(ServerState)),
    leaving=st.booleans(),
)
liveness_claims = st.tuples(
    st.sampled_from(NAMES), st.integers(1, 5), st.sampled_from(LivenessState)
)
steps = st.lists(st.one_of(announcements, liveness_claims), max_size=30)


class Model:
    """The expected contents of a directory, without indices and digests."""

    def __init__(self) -> None:
        self.entries: dict[str, tuple[Announcement, int, LivenessState]] = {}

    def apply(self, step) -> None:
        """Applies an announcement or a claim."""
        if isinstance(step, Announcement):
            old = self.entries.get(step.instance)
            if old is None or step.incarnation > old[1]:
                entry = step, step.incarnation, LivenessState.ALIVE
                self.entries[step.instance] = entry
            return
        name, incarnation, state = step
        if name not in self.entries:
            return
        announcement, current, liveness = self.entries[name]
        is_death = incarnation > current and state is LivenessState.DEAD
        if is_death or (incarnation == current and state > liveness):
            self.entries[name] = announcement, incarnation, state


class TestDirectory:
    """Merging, indices and digests."""

    @settings(max_examples=300)
    @given(steps=steps)
    def test_fuzz_matches_plain_model(self, steps):
        """Guards against indices or digests that drift from the records."""
        directory, model = InstanceDirectory(), Model()
        for step in steps:
            model.apply(step)
            if isinstance(step, Announcement):
                directory.merge(step)
            else:
                directory.apply_liveness(*step, now=0.0)
            self.assert_equal_views(directory, model)
        fresh = InstanceDirectory()
        for announcement, incarnation, liveness in model.entries.values():
            if liveness is not LivenessState.DEAD:
                assert announcement.incarnation == incarnation
                fresh.merge(announcement)
        assert fresh.digest() == directory.digest()
        assert fresh.bucket_digests() == directory.bucket_digests()

    def assert_equal_views(
        self, directory: InstanceDirectory, model: Model
    ) -> None:
        """Checks that every public query agrees with the model."""
        dead = LivenessState.DEAD
        for domain in "xy":
            assert directory.get_members(domain) == sorted(
                name
                for name, (a, _, liveness) in model.entries.items()
                if a.failure_domain == domain and liveness is not dead
            )
        for service in SERVICES:
            known = [
                (a, liveness)
                for _, (a, _, liveness) in sorted(model.entries.items())
                if a.service == service
            ]
            assert directory.get_known(service) == [a for a, _ in known]
            assert directory.get_usable(service) == [
                a
                for a, liveness in known
                if liveness is LivenessState.ALIVE
                and a.state is ServerState.SERVING
                and not a.leaving
            ]
        assert directory.dead == {
            name for name, entry in model.entries.items() if entry[2] is dead
        }
        assert directory.leaving == {
            name
            for name, (a, _, liveness) in model.entries.items()
            if a.leaving and liveness is not dead
        }

    def test_dead_records_expire_and_drains_apply(self):
        """Guards against dead records that never expire and ignored drains."""
        directory = InstanceDirectory(dead_retention_s=300.0)
        for name in NAMES:
            directory.merge(
                Announcement(
                    name, 1, "r", "x", "p:1", "", "browse", "1", "s:1",
                    ServerState.SERVING,
                )
            )  # fmt: skip
        directory.set_drained(frozenset({"b"}))
        assert [a.instance for a in directory.get_usable("browse")] == [
            "a",
            "c",
        ]
        directory.set_drained(frozenset())
        assert len(directory.get_usable("browse")) == 3
        directory.apply_liveness("a", 1, LivenessState.DEAD, now=10.0)
        directory.remove_expired(309.0)
        assert len(directory.get_known("browse")) == 3
        directory.remove_expired(310.0)
        assert [a.instance for a in directory.get_known("browse")] == ["b", "c"]
