"""Header fields that a node removes, adds or parses."""

from collections.abc import Iterable

RawFields = list[tuple[bytes, bytes]]

# Fields that are valid for one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP_FIELDS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
DEADLINE_FIELD = b"vanillamast-deadline-ms"
ATTEMPT_FIELD = b"vanillamast-attempt"
# Identifies a request to a backend server; its response repeats it.
REQUEST_ID_FIELD = "vanillamast-request-id"
NOT_RUN_FIELD = "vanillamast-not-run"
LOAD_FIELD = "vanillamast-load"
REFUSAL_FIELD = b"vanillamast-refusal"
KEY_FIELD = b"idempotency-key"
# Request fields that the node sets itself or, like `expect`, answers itself.
_REPLACED_FIELDS = frozenset(
    {DEADLINE_FIELD, ATTEMPT_FIELD, REQUEST_ID_FIELD.encode(), b"expect"}
)


def end_to_end_fields(
    fields: Iterable[tuple[bytes, bytes]], dropped: frozenset[bytes]
) -> RawFields:
    """Returns the fields that are not hop-by-hop.

    Args:
      fields: Fields of a message, names in lower case.
      dropped: Names of further fields to omit.
    """
    connection_options: set[bytes] | None = None
    kept = []
    for field in fields:
        name = field[0]
        if name in HOP_BY_HOP_FIELDS:
            if name == b"connection":
                connection_options = connection_options or set()
                connection_options.update(_split_tokens(field[1]))
        elif name not in dropped:
            kept.append(field)
    if connection_options:
        # Content-Length frames the message; a Connection field must not
        # remove it.
        connection_options.discard(b"content-length")
        kept = [field for field in kept if field[0] not in connection_options]
    return kept


def forwarded_request_fields(fields: RawFields) -> RawFields:
    """Returns the request fields to forward to a backend server."""
    return end_to_end_fields(fields, _REPLACED_FIELDS)


def _split_tokens(value: bytes) -> list[bytes]:
    return [token.strip().lower() for token in value.split(b",")]
