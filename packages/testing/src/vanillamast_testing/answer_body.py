"""Bodies of answers that show whose answer they are."""


def answer_body(request_id: str, size: int) -> bytes:
    """Returns the body that belongs to a request id.

    A caller that compares an answer with this finds a body that was cut off
    as well as one that belongs to another request.

    Args:
      request_id: The request's `x-request-id`.
      size: Length in bytes.
    """
    unit = f"{request_id}\n".encode()
    return (unit * (size // len(unit) + 1))[:size]
