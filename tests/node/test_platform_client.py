"""Tests of the client of the platform's log."""

import base64
import json

import pytest
from aiohttp import web
from vanillamast_node import platform_client
from vanillamast_node.platform_client import PlatformClient
from vanillamast_node.platform_errors import (
    PlatformResponseTooLongError,
    PlatformUnavailableError,
)
from vanillamast_node.platform_settings import PlatformSettings

HOST = "127.56.0.9"
ENTRY = base64.b64encode(b"x" * 900).decode()
ENTRIES = 64


@pytest.fixture
async def client(monkeypatch):
    """Returns a client of a log with long entries, read 16 KB at a time."""
    monkeypatch.setattr(platform_client, "MAX_RESPONSE_BYTES", 16_384)

    async def read(request):
        after, limit = (int(request.query[k]) for k in ("after", "limit"))
        last = min(ENTRIES, after + limit)
        entries = [(number, ENTRY) for number in range(after + 1, last + 1)]
        return web.json_response({"first": 1, "next": last, "entries": entries})

    async def append(request):
        del request
        return web.Response(text=json.dumps({"offset": 1})[:-3])

    app = web.Application()
    app.router.add_get("/v1/read", read)
    app.router.add_post("/v1/append", append)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    found = PlatformClient(PlatformSettings(f"http://{HOST}:{port}"))
    await found.open()
    yield found
    await found.close()
    await runner.cleanup()


class TestPlatformClient:
    """Responses that are too long or no JSON."""

    async def test_long_entries_are_read_in_smaller_parts(self, client):
        """Guards against a node that never gets past long entries."""
        offsets = []
        refused = 0
        while len(offsets) < ENTRIES:
            try:
                result = await client.read(len(offsets), wait=False)
            except PlatformResponseTooLongError:
                refused += 1
                assert refused < ENTRIES
                continue
            offsets += [entry.offset for entry in result.entries]
        assert offsets == list(range(1, ENTRIES + 1))

    async def test_a_response_that_is_no_json_is_a_failure(self, client):
        """Guards against one malformed response that ends a task."""
        with pytest.raises(PlatformUnavailableError):
            await client.append(b"x")
