"""Tests of the organisation that a request belongs to."""

import dataclasses

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from vanillamast_sidecar.organisations.key_hasher import KeyHasher
from vanillamast_sidecar.organisations.key_refusal import KeyRefusal
from vanillamast_sidecar.organisations.organisation import Organisation
from vanillamast_sidecar.organisations.organisation_directory import (
    OrganisationDirectory,
)
from vanillamast_sidecar.routing.route import Route

FIELD = b"x-org"
KEYS = ("k-1", "k-2", "k,3", "K-1")
OPEN = Route("o", "h", "/o/", True, 1.0, 0.5, 1, 1, (("s", 1.0),), False)
CLOSED = dataclasses.replace(OPEN, requires_key=True)
schemes = st.sampled_from(["Bearer ", "bearer ", "BEARER  ", " Bearer ", "\t"])
odd_values = st.sampled_from(
    [
        b"",
        b"Bearer",
        b"Bearer ",
        b"k-1",
        b"Basic k-1",
        b"Bearer k-1 k-2",
        b"Bearer k-1, Bearer k-2",
        b"Bearer\xa0k-1",
        b"Bearer\nk-1",
        b"Bearer \x00k-1",
        b"Bearer k-\xb9",
        b"\xff",
    ]
)


class OrganisationMachine(RuleBasedStateMachine):
    """Compares directories of changing configurations with a small oracle.

    Attributes:
      owners: Name of the organisation of each key in force.
      directory: Directory under test.
    """

    def __init__(self):
        super().__init__()
        self.hasher = KeyHasher()
        self.apply({})

    @rule(owners=st.dictionaries(st.sampled_from(KEYS), st.sampled_from("ab")))
    def apply(self, owners):
        """Applies a configuration that replaces the one before."""
        self.owners = owners
        self.directory = OrganisationDirectory(
            [
                Organisation(
                    name, tuple(k for k in owners if owners[k] == name)
                )
                for name in sorted(set(owners.values()))
            ],
            self.hasher,
        )

    @rule(
        keys=st.lists(st.sampled_from([*KEYS, "other"]), max_size=2)
        | st.sampled_from([[key] * 2 for key in KEYS]),
        scheme=schemes,
        odd=st.none() | st.none() | odd_values,
        route=st.sampled_from([OPEN, CLOSED]),
        forged=st.booleans(),
    )
    def request(self, keys, scheme, odd, route, forged):
        """Sends a request with any keys and fields."""
        sent = [(scheme + key).encode() for key in keys]
        sent += [odd] if odd is not None else []
        headers = [(b"authorization", value) for value in sent]
        headers += [(FIELD, b"forged")] * forged + [(b"accept", b"*/*")]
        found = self.directory.identify(headers, route)
        sound = len(sent) == 1 and odd is None and scheme.strip()
        owner = self.owners.get(keys[0]) if sound else None
        if not self.owners:
            assert found is None
        elif owner:
            assert found.name == owner
        else:
            assert isinstance(found, KeyRefusal) == route.requires_key
            assert not any(key in repr(found) for key in KEYS)
        if isinstance(found, KeyRefusal):
            return
        forwarded = self.directory.forward_headers(headers, FIELD, found)
        if not self.owners:
            assert forwarded == headers
        else:
            named = [(FIELD, owner.encode())] if owner else []
            assert forwarded == [(b"accept", b"*/*"), *named]


TestOrganisationFuzz = OrganisationMachine.TestCase


class TestPriority:
    """The order of requests of organisations and routes."""

    def order(self, *requests):
        """Returns the priorities of (organisation, route) pairs."""
        directory = OrganisationDirectory(
            [Organisation("a", ("k-1",))], KeyHasher()
        )
        return [
            directory.get_priority(
                dataclasses.replace(CLOSED, priority=of_route),
                None if own == "none" else Organisation("a", (), own),
            )
            for own, of_route in requests
        ]

    def test_the_organisation_decides_before_the_route(self):
        """Guards against an urgent route that overtakes an organisation."""
        found = self.order((0, 0), (0, 9), (1, 0), (1, 10**30), (2, -5))
        assert found == sorted(set(found))
        assert found[-1] * 2 + 1 < 2**63

    def test_without_a_priority_the_route_decides(self):
        """Guards against organisations that are ranked without a priority."""
        unset, none, equal = self.order((None, 3), ("none", 3), (3, 3))
        assert unset == none == equal

    def test_nothing_changes_without_organisations(self):
        """Guards against ranks that other versions of the node do not use."""
        directory = OrganisationDirectory([], KeyHasher())
        assert directory.get_priority(OPEN, None) == OPEN.priority


def test_hashes_distinguish_keys_of_one_process_only():
    """Guards against hashes by which a key can be found offline."""
    first, second = KeyHasher(), KeyHasher()
    assert first.hash_key(b"a") == first.hash_key(b"a")
    assert first.hash_key(b"a") != first.hash_key(b"b")
    assert first.hash_key(b"a") != second.hash_key(b"a")
