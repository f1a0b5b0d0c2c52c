"""Tests of the check of a configuration's organisations."""

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from vanillamast_sidecar.errors import InvalidConfigurationError
from vanillamast_sidecar.organisations.organisation import Organisation
from vanillamast_sidecar.organisations.organisation_check import (
    check_organisations,
)

HEADER_BYTES = 200
FAULTS = {
    "share an API key": [("acme", ("s3cret",)), ("bolt", ("x", "s3cret"))],
    "are named": [("acme", ("s3cret",)), ("acme", ("x",))],
    "has no name": [("", ("s3cret",))],
    "empty API key": [("acme", ("s3cret", ""))],
    "cannot be sent": [("acme", ("s3cret\r\nx: y",))],
    "cannot be sent in": [("acme", ("s3cret two",))],
    "cannot be sent in a": [("acme", ("s3cret\u00e9",))],
    "cannot be sent in a header": [("acme", ("s3cret" * 40,))],
    "does not fit": [("acme\r\nx: y", ("s3cret",))],
    "does not fit in": [(" acme", ("s3cret",))],
    "does not fit in a": [("a" * 256, ("s3cret",))],
}


class TestCheckOrganisations:
    """A configuration with a fault is refused without showing a key."""

    @pytest.mark.parametrize("message", FAULTS)
    def test_a_fault_is_refused(self, message):
        """Guards against requests that count for another organisation."""
        organisations = [Organisation(*fields) for fields in FAULTS[message]]
        with pytest.raises(InvalidConfigurationError, match=message) as caught:
            check_organisations(organisations, HEADER_BYTES)
        assert "s3cret" not in str(caught.value)
        assert organisations[0].name[:4].strip() in str(caught.value)

    @given(
        st.lists(
            st.tuples(
                st.text(max_size=3), st.lists(st.text("xyz ", max_size=2))
            ),
            max_size=4,
        )
    )
    def test_accepted_keys_have_one_owner(self, entries):
        """Guards against faults that only a combination shows."""
        found = [Organisation(name, tuple(keys)) for name, keys in entries]
        with contextlib.suppress(InvalidConfigurationError):
            check_organisations(found, HEADER_BYTES)
            assert len({name for name, _ in entries}) == len(entries)
            owned = [key for _, keys in entries for key in set(keys)]
            assert len(owned) == len(set(owned))
            assert all(key.strip() for key in owned)

    def test_ordinary_organisations_are_accepted(self):
        """Guards against a sound configuration that is refused."""
        found = [
            Organisation("Acme, Ltd.", ("k-1", "k-1", "~!+/=._:;k,2")),
            Organisation("no keys", ()),
            Organisation("\u00c5ngstr\u00f6m", ("k-3",)),
        ]
        check_organisations(found, HEADER_BYTES)
