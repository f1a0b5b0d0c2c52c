"""Reads the API key of a request."""

from vanillamast_sidecar.http.http_message import Headers
from vanillamast_sidecar.organisations.refusal_reason import RefusalReason

AUTHORIZATION = b"authorization"
SCHEME = b"bearer"
BLANKS = b" \t"


def read_key(headers: Headers) -> bytes | RefusalReason:
    """Returns the key of the only Authorization field, or what is wrong.

    Several fields are ambiguous even if they are equal: recipients differ in
    which of them they use.

    Args:
      headers: Header fields of the request; names in lower case.
    """
    values = [value for name, value in headers if name == AUTHORIZATION]
    if not values:
        return RefusalReason.MISSING
    if len(values) > 1:
        return RefusalReason.AMBIGUOUS
    # Not `split`, which also takes line ends and other controls as blanks.
    scheme, _, key = values[0].strip(BLANKS).partition(b" ")
    key = key.strip(BLANKS)
    if scheme.lower() != SCHEME or not key:
        return RefusalReason.MALFORMED
    return key
