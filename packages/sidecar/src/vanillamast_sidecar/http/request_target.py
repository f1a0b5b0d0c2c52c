"""Request targets in absolute form (RFC 9112, section 3.2.2)."""

from vanillamast_sidecar.http.http_message import Headers

SCHEMES = ("http://", "https://")


def to_origin_form(
    method: str, target: str, headers: Headers
) -> tuple[str, Headers] | None:
    """Replaces an absolute target by its path and a Host field.

    Other targets are returned as they are.

    Args:
      method: HTTP method.
      target: Request target as received.
      headers: Header fields; names in lower case.

    Returns:
      The target and the header fields; None if the authority is invalid.
    """
    scheme = target[:8].lower()
    if not scheme.startswith(SCHEMES):
        return target, headers
    rest = target[len(scheme.partition("//")[0]) + 2 :]
    ends = [i for i in map(rest.find, "/?#") if i >= 0]
    end = min(ends, default=len(rest))
    authority, path = rest[:end], rest[end:].partition("#")[0]
    if not authority or "@" in authority:
        return None
    if not path.startswith("/"):
        path = "*" if method == "OPTIONS" and not path else f"/{path}"
    fields = [(name, value) for name, value in headers if name != b"host"]
    return path, [(b"host", authority.encode("latin-1")), *fields]
