"""Encodes HTTP/1.1 messages."""

from http import HTTPStatus

from vanillamast_sidecar.http.http_message import (
    Headers,
    HttpResponse,
    remove_hop_by_hop,
)

BODILESS_METHODS = frozenset(("GET", "HEAD", "DELETE", "OPTIONS", "TRACE"))
_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


def encode_request(
    method: str, target: str, headers: Headers, body: bytes
) -> bytes:
    """Returns an encoded request with a Content-Length field."""
    return encode_request_head(method, target, headers, len(body)) + body


def encode_request_head(
    method: str, target: str, headers: Headers, body_bytes: int
) -> bytes:
    """Returns the encoded request line and header section."""
    lines = [f"{method} {target} HTTP/1.1".encode("latin-1")]
    lines.extend(name + b": " + value for name, value in headers)
    if body_bytes or method not in BODILESS_METHODS:
        lines.append(b"Content-Length: %d" % body_bytes)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_response(
    response: HttpResponse, keep_alive: bool, head_only: bool = False
) -> bytes:
    """Returns an encoded response with a Content-Length field.

    Args:
      response: The response.
      keep_alive: Whether the connection stays open.
      head_only: Whether the request's method was HEAD.
    """
    status = response.status
    phrase = response.reason_phrase or _PHRASES.get(status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b" % (status, phrase)]
    lines.extend(
        name + b": " + value
        for name, value in remove_hop_by_hop(response.headers)
    )
    if status >= 200 and status != 204:
        lines.append(b"Content-Length: %d" % len(response.body))
    if not keep_alive:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if head_only else head + response.body
