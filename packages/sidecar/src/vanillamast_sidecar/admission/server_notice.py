"""What a backend server says about itself in a response."""

import math

from vanillamast_sidecar.errors import InvalidRateLimitError
from vanillamast_sidecar.field_names import FieldNames
from vanillamast_sidecar.http.http_message import HttpResponse


def is_leaving(response: HttpResponse, fields: FieldNames) -> bool:
    """Returns whether the server is about to leave."""
    value = response.get_header(fields.leaving)
    return value is not None and value.strip() == b"1"


def read_rate_limit(response: HttpResponse, fields: FieldNames) -> float | None:
    """Returns the server's limit in requests a second, None without one.

    Raises:
      InvalidRateLimitError: The limit is not a finite number of 0 or more.
    """
    value = response.get_header(fields.rate_limit)
    if value is None:
        return None
    try:
        limit = float(value)
    except ValueError:
        limit = -1.0
    if not math.isfinite(limit) or limit < 0.0:
        raise InvalidRateLimitError(repr(value[:40]))
    return limit
