"""Tests of what a server's response says of it."""

import pytest
from vanillamast_sidecar.admission.server_notice import (
    is_leaving,
    read_rate_limit,
)
from vanillamast_sidecar.errors import InvalidRateLimitError
from vanillamast_sidecar.field_names import FieldNames
from vanillamast_sidecar.http.http_message import HttpResponse

FIELDS = FieldNames(*[b"x"] * 6, rate_limit=b"limit", leaving=b"leaving")


def response(**headers):
    """Returns a response with header fields."""
    return HttpResponse(
        200, [(name.encode(), value) for name, value in headers.items()]
    )


class TestServerNotice:
    """Values of the fields, also from a faulty server."""

    @pytest.mark.parametrize(
        ("value", "limit"), [(b"18.6", 18.6), (b" 7 ", 7.0), (b"0", 0.0)]
    )
    def test_a_limit_is_a_decimal_number(self, value, limit):
        """Guards against limits that are read wrongly."""
        assert read_rate_limit(response(Limit=value), FIELDS) == limit

    def test_a_response_may_name_no_limit(self):
        """Guards against a limit that nobody has named."""
        assert read_rate_limit(response(), FIELDS) is None

    @pytest.mark.parametrize("value", [b"", b"-1", b"nan", b"inf", b"\xff" * 9])
    def test_an_unusable_limit_is_an_error(self, value):
        """Guards against a faulty value that stops or frees all requests."""
        with pytest.raises(InvalidRateLimitError):
            read_rate_limit(response(Limit=value), FIELDS)

    @pytest.mark.parametrize(
        ("value", "leaving"), [(b"1", True), (b" 1", True), (b"0", False)]
    )
    def test_only_one_means_that_it_leaves(self, value, leaving):
        """Guards against a sound server that is taken out of use."""
        assert is_leaving(response(leaving=value), FIELDS) is leaving
        assert not is_leaving(response(), FIELDS)
