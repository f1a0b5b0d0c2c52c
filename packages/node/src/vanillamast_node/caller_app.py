"""The ASGI application that answers callers."""

import asyncio
import logging
import re
from collections.abc import Awaitable, Callable
from typing import Any

import falcon.asgi
from vanillamast_core.requests import Refusal, make_refusal

from vanillamast_node.forwarded_call import ForwardedCall
from vanillamast_node.forwarding_context import ForwardingContext
from vanillamast_node.header_fields import REFUSAL_FIELD, RawFields
from vanillamast_node.proxy_errors import ResponseAbortedError
from vanillamast_node.request_body import Receive

CALL_KEY = "vanillamast.call"
Send = Callable[[dict[str, Any]], Awaitable[None]]
_LOGGER = logging.getLogger("vanillamast")
_ANY_TARGET = re.compile("")  # Also matches the target "*".
_CONNECTION_CLOSE = (b"connection", b"close")
_EMPTY_BODY_EVENT = {"type": "http.request", "body": b"", "more_body": True}


class CallerApp:
    """Forwards each request through one falcon sink.

    Attributes:
      context: Dependencies shared by all requests.
      falcon_app: The falcon application.
      calls: Requests in progress.
      draining: Whether responses ask callers to close their connections.
    """

    def __init__(self, context: ForwardingContext):
        self.context = context
        self.falcon_app: Any = falcon.asgi.App()
        self.falcon_app.add_sink(_forward_request, prefix=_ANY_TARGET)
        self.falcon_app.add_error_handler(Exception, _reraise_error)
        self.calls: set[ForwardedCall] = set()
        self.draining = False

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answers one request."""
        call = ForwardedCall(self.context, scope, receive)
        scope[CALL_KEY] = call
        self.calls.add(call)

        response_started = False

        async def send_with_fields(message: dict[str, Any]) -> None:
            nonlocal response_started
            if (
                message["type"] == "http.response.start"
                and call.response_fields
            ):
                response_started = True
                if self.draining:
                    call.response_fields.append(_CONNECTION_CLOSE)
                message["headers"] = call.response_fields
            await send(message)

        try:
            await self.falcon_app(scope, _receive_no_body, send_with_fields)
        except ResponseAbortedError:
            call.connection.abort()
        except asyncio.CancelledError:
            call.connection.abort()
            if not call.absorb_interruption():
                raise
        except Exception:
            _LOGGER.exception("request failed")
            if response_started:
                call.connection.abort()
            else:
                await _send_internal_error(send)
        finally:
            self.calls.discard(call)
            call.finish()
            del scope[CALL_KEY]


async def _receive_no_body() -> dict[str, Any]:
    # falcon reads the first event before the sink runs. The call reads the
    # body itself, and only after the request has been admitted.
    return _EMPTY_BODY_EVENT


async def _reraise_error(
    req: Any, resp: Any, error: Exception, params: Any
) -> None:
    raise error


async def _send_internal_error(send: Send) -> None:
    refusal = make_refusal("internal_error")
    body = refusal.body()
    fields = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
        (REFUSAL_FIELD, refusal.kind.encode()),
        _CONNECTION_CLOSE,
    ]
    await send(
        {
            "type": "http.response.start",
            "status": refusal.status,
            "headers": fields,
        }
    )
    await send({"type": "http.response.body", "body": body})


async def _forward_request(req: Any, resp: Any, **params: str) -> None:
    call: ForwardedCall = req.scope[CALL_KEY]
    refusal = await call.run()
    if refusal is not None:
        call.response_fields = _refusal_fields(call, refusal)
        resp.status = refusal.status
        resp.data = refusal.body()
        return
    response = call.response
    assert response is not None
    resp.status = response.status
    if req.method == "HEAD" or response.status in (204, 304):
        call.end_response()
        return
    body = call.read_buffered_response()
    if body is None:
        resp.stream = call.stream_response()
    else:
        resp.data = body


def _refusal_fields(call: ForwardedCall, refusal: Refusal) -> RawFields:
    fields = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(refusal.body())),
        (REFUSAL_FIELD, refusal.kind.encode()),
    ]
    if refusal.retry_after_s:
        retry_after = max(1, round(refusal.retry_after_s))
        fields.append((b"retry-after", b"%d" % retry_after))
    unread = call.header.body_length != 0 and not call.body.complete
    if unread or call.header.problem:
        # Either the rest of the body is unread or its length is ambiguous, so
        # the connection cannot be reused for another request.
        fields.append(_CONNECTION_CLOSE)
    return fields
