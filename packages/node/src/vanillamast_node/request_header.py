"""Parses the fields of a caller's request header that the node uses."""

import dataclasses
import math
from typing import Any

from vanillamast_core.requests import RequestInputs

from vanillamast_node import header_fields

MAX_KEY_LENGTH = 255


@dataclasses.dataclass(slots=True)
class RequestHeader:
    """A parsed request header.

    Attributes:
      fields: All fields, names in lower case.
      inputs: Values that routing uses.
      body_length: Length of the body in bytes, None if it is chunked, 0 if
        there is none.
      has_content_length: Whether there is a Content-Length field.
      problem: Error in the header, "" if it is valid.
    """

    fields: header_fields.RawFields
    inputs: RequestInputs
    body_length: int | None = 0
    has_content_length: bool = False
    problem: str = ""


def parse_header(scope: dict[str, Any]) -> RequestHeader:
    """Parses and validates the header fields of an ASGI scope."""
    header = RequestHeader(scope["headers"], RequestInputs())
    seen: set[bytes] = set()
    for name, value in header.fields:
        parse_field = _FIELD_PARSERS.get(name)
        if parse_field is None:
            continue
        if name in seen:
            header.problem = f"repeated {name.decode()}"
            return header
        seen.add(name)
        if not parse_field(header, value):
            header.problem = f"malformed {name.decode()}"
            return header
    if header.body_length is None and header.has_content_length:
        header.problem = "both content-length and transfer-encoding"
    return header


def _parse_content_length(header: RequestHeader, value: bytes) -> bool:
    header.has_content_length = True
    if not value.isdigit():
        return False
    if header.body_length is not None:
        header.body_length = int(value)
    return True


def _parse_transfer_encoding(header: RequestHeader, value: bytes) -> bool:
    header.body_length = None
    return value.lower() == b"chunked"


def _parse_deadline(header: RequestHeader, value: bytes) -> bool:
    try:
        deadline_ms = float(value)
    except ValueError:
        return False
    header.inputs.deadline_ms = deadline_ms
    return math.isfinite(deadline_ms) and deadline_ms >= 0.0


def _parse_attempt(header: RequestHeader, value: bytes) -> bool:
    if not value.isdigit() or len(value) > 9:
        return False
    header.inputs.attempt = max(1, int(value))
    return True


def _parse_key(header: RequestHeader, value: bytes) -> bool:
    try:
        header.inputs.key = value.decode("ascii")
    except UnicodeDecodeError:
        return False
    return 0 < len(value) <= MAX_KEY_LENGTH


_FIELD_PARSERS = {
    b"content-length": _parse_content_length,
    b"transfer-encoding": _parse_transfer_encoding,
    header_fields.DEADLINE_FIELD: _parse_deadline,
    header_fields.ATTEMPT_FIELD: _parse_attempt,
    header_fields.KEY_FIELD: _parse_key,
}
