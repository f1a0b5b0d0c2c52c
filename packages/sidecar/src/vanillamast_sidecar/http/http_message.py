"""HTTP requests and responses."""

import dataclasses

Headers = list[tuple[bytes, bytes]]
Body = bytes | bytearray

# Header fields that apply to one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


@dataclasses.dataclass(slots=True)
class HttpRequest:
    """A complete request.

    Attributes:
      method: HTTP method.
      target: Request target as received.
      headers: Header fields in order; names in lower case. They may hold an
        API key and are not shown.
      body: Body without transfer coding.
    """

    method: str
    target: str
    headers: Headers = dataclasses.field(repr=False)
    body: Body = b""

    def get_header(self, name: bytes) -> bytes | None:
        """Returns the first value of a field, given in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclasses.dataclass(slots=True)
class HttpResponse:
    """A complete response.

    Attributes:
      status: Status code.
      headers: Header fields in order; names as received.
      body: Body without transfer coding.
      reason_phrase: Reason phrase.
      keep_alive: Whether the connection may be used again.
    """

    status: int
    headers: Headers
    body: bytes = b""
    reason_phrase: bytes = b""
    keep_alive: bool = True

    def get_header(self, name: bytes) -> bytes | None:
        """Returns the first value of a field, given in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


def remove_hop_by_hop(headers: Headers) -> Headers:
    """Returns the header fields that are forwarded to the next hop."""
    named: set[bytes] = set()
    for key, value in headers:
        if key.lower() == b"connection":
            named.update(part.strip() for part in value.lower().split(b","))
    return [
        (key, value)
        for key, value in headers
        if key.lower() not in HOP_BY_HOP and key.lower() not in named
    ]
