"""Serves operators' queries and commands over HTTP."""

from typing import Any

import falcon
import falcon.asgi
import msgspec
from vanillamast_core import CodecError
from vanillamast_core.journal import Record, record_codec

from vanillamast_node.operator_backend import OperatorBackend

MAX_RECORD_BYTES = 1 << 20
MAX_EVENTS_WAIT_MS = 30_000


def encode_json(value: Any) -> bytes:
    """Encodes a response body as JSON."""
    return msgspec.json.encode(value, enc_hook=str)


class QueryResource:
    """A `GET` that is answered from the state of the core.

    Attributes:
      backend: The node's queries and commands.
      name: Name of the query in the registry `queries`.
    """

    def __init__(self, backend: OperatorBackend, name: str):
        self.backend = backend
        self.name = name

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Answers the query, whose parameters are those of the URL."""
        answer = self.backend.query(self.name, dict(req.params))
        resp.content_type = falcon.MEDIA_JSON
        resp.data = encode_json(answer)


class RecordsResource:
    """`POST /v1/records`.

    Attributes:
      backend: The node's queries and commands.
    """

    def __init__(self, backend: OperatorBackend):
        self.backend = backend

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Appends a record and responds with its outcome."""
        record = await self._decode(req)
        outcome = await self.backend.submit(record)
        if outcome is None:
            raise falcon.HTTPGatewayTimeout(
                title="outcome_pending",
                description=f"ask /v1/outcomes/{record.id} again",
            )
        resp.content_type = falcon.MEDIA_JSON
        resp.data = encode_json(msgspec.structs.asdict(outcome))

    async def _decode(self, req: falcon.asgi.Request) -> Record:
        data = await req.stream.read(MAX_RECORD_BYTES + 1)
        if len(data) > MAX_RECORD_BYTES:
            raise falcon.HTTPContentTooLarge(title="record_too_large")
        try:
            return record_codec.decode(data)
        except CodecError as error:
            raise falcon.HTTPBadRequest(
                title="invalid_record", description=str(error)
            ) from error


class OutcomeResource:
    """`GET /v1/outcomes/{record_id}`.

    Attributes:
      backend: The node's queries and commands.
    """

    def __init__(self, backend: OperatorBackend):
        self.backend = backend

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        record_id: str,
    ) -> None:
        """Responds with the outcome of a record, or 404 if it is unknown."""
        del req  # The path holds the only parameter.
        outcome = self.backend.find_outcome(record_id)
        if outcome is None:
            raise falcon.HTTPNotFound(title="unknown_outcome")
        resp.content_type = falcon.MEDIA_JSON
        resp.data = encode_json(msgspec.structs.asdict(outcome))


class EventsResource:
    """`GET /v1/events?after=N&wait_ms=T`.

    Attributes:
      backend: The node's queries and commands.
    """

    def __init__(self, backend: OperatorBackend):
        self.backend = backend

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Responds with the events after a sequence number."""
        after = req.get_param_as_int("after", default=0)
        wait_ms = req.get_param_as_int("wait_ms", default=0)
        wait_s = min(wait_ms, MAX_EVENTS_WAIT_MS) / 1000
        events = await self.backend.read_events(after, wait_s)
        resp.content_type = falcon.MEDIA_JSON
        resp.data = encode_json({"events": events})


def make_operator_app(backend: OperatorBackend) -> falcon.asgi.App:
    """Returns the application for the operators' address."""
    app = falcon.asgi.App()
    for name in backend.query_names():
        app.add_route(f"/v1/{name}", QueryResource(backend, name))
    app.add_route("/v1/records", RecordsResource(backend))
    app.add_route("/v1/outcomes/{record_id}", OutcomeResource(backend))
    app.add_route("/v1/events", EventsResource(backend))
    return app
