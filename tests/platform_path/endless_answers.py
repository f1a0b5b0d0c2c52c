"""A server, a store and a node that send bytes without end as an answer."""

import asyncio
import json
import struct

import msgspec
from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.admission.reason import Reason
from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.membership.load_report import LoadReport
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.mesh.frame_codec import make_frame
from vanillamast_sidecar.mesh.messages import Records, Reply, Welcome

NODES_TOPIC = "keyed.vanillamast-nodes"
PIECE_BYTES = 65_536
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What is sent first, and then again and again until the caller closes.
FLOODS = {
    "status line": (b"HTTP/1.1 200 ", b"x" * PIECE_BYTES),
    "long header field": (HEAD + b"X-Long: ", b"x" * PIECE_BYTES),
    "short header fields": (HEAD, b"a:b\r\n" * 10_000),
    "header fields without names": (HEAD, b":\r\n" * 10_000),
    "body with a length": (
        HEAD + b"Content-Length: 1000000000000\r\n\r\n",
        b"x" * PIECE_BYTES,
    ),
    "body to the end": (HEAD + b"\r\n", b"x" * PIECE_BYTES),
    "chunks": (CHUNKED, b"10000\r\n" + b"x" * PIECE_BYTES + b"\r\n"),
    "tiny chunks": (CHUNKED, b"1\r\ny\r\n" * 10_000),
    "chunk extension": (CHUNKED + b"1;", b"x" * PIECE_BYTES),
    "trailers": (CHUNKED + b"0\r\n", b"a:b\r\n" * 10_000),
    "interim responses": (b"", b"HTTP/1.1 102 A\r\n\r\n" * 2_000),
    "empty lines": (b"", b"\r\n" * 30_000),
}


class FloodServer:
    """Answers each request with bytes until the connection ends.

    Attributes:
      first: What an answer begins with.
      piece: What is repeated.
    """

    def __init__(self, first, piece):
        self.first = first
        self.piece = piece
        self.server = None
        self.tasks = set()

    async def start(self, host, port):
        """Listens."""
        self.server = await asyncio.start_server(self._serve, host, port)

    def close(self):
        """Closes all connections."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            await self.answer(reader, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            # The node or the test ended it.
            pass
        finally:
            writer.transport.abort()

    async def answer(self, reader, writer):
        """Answers one request."""
        await reader.readuntil(b"\r\n\r\n")
        await self.flood(writer)

    async def flood(self, writer):
        """Sends until the connection ends."""
        writer.write(self.first)
        while True:
            writer.write(self.piece)
            await writer.drain()


class FloodStore(FloodServer):
    """Passes calls on to the store, or answers them itself.

    Attributes:
      address: Host and port of the store.
      kind: One of `FLOODS`, "pages", or "" to pass calls on.
    """

    def __init__(self, address):
        super().__init__(b"", b"")
        self.address = address
        self.kind = ""

    def switch(self, kind):
        """Answers with another kind of bytes from now on."""
        self.kind = kind
        self.first, self.piece = FLOODS.get(kind, (b"", b""))
        for task in list(self.tasks):
            task.cancel()

    async def answer(self, reader, writer):
        """Answers the calls of one connection."""
        if not self.kind:
            await self._pass_on(reader, writer)
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            for line in head.split(b"\r\n"):
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    await reader.readexactly(int(value))
            if self.kind == "pages":
                self._send_page(writer)
                await writer.drain()
            else:
                await self.flood(writer)

    def _send_page(self, writer):
        """Sends a page of records after which there are always more."""
        items = [
            {"key": f"k{n}", "value": "eHh4" * 500, "offset": n}
            for n in range(400)
        ]
        body = json.dumps(
            {"items": items, "more": True, "end_offset": 9, "generation": 1}
        ).encode()
        writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)

    async def _pass_on(self, reader, writer):
        remote_reader, remote_writer = await asyncio.open_connection(
            *self.address
        )
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(_copy(reader, remote_writer))
                group.create_task(_copy(remote_reader, writer))
        except* (OSError, EOFError):
            # One of the two connections has ended.
            pass
        finally:
            remote_writer.transport.abort()
        raise EOFError


async def _copy(reader, writer):
    while True:
        data = await reader.read(PIECE_BYTES)
        if not data:
            raise EOFError
        writer.write(data)
        await writer.drain()


def frame(message):
    """Returns the frame of a message."""
    return bytes(make_frame(message))


NO_LOAD = LoadReport(0, 0, 0.0, 0.0)


def make_reply(call_id, size):
    """Returns the frame of a response with a body."""
    return frame(
        Reply(
            call_id,
            Outcome.ANSWERED,
            Reason.NONE,
            True,
            0.0,
            NO_LOAD,
            200,
            b"OK",
            [],
            b"x" * size,
        )
    )


def cut_reply(size):
    """Returns how a frame begins that claims to be a reply of some size."""
    return struct.pack(">I", size) + make_reply(1, 4)[4:12]


# What a node sends after a call, and then again and again.
NODE_FLOODS = {
    "one reply of 90 MB": (cut_reply(90 << 20), b"x" * PIECE_BYTES),
    "one reply of 40 MB": (cut_reply(40 << 20), b"x" * PIECE_BYTES),
    "replies to no call": (b"", make_reply(1 << 40, 3 << 20)),
    "replies of 3 MB": (make_reply(1, 3 << 20), make_reply(2, 3 << 20)),
    "records": (
        b"",
        frame(
            Records(
                [
                    NodeRecord(
                        f"127.9.{n // 250}.{n % 250}:1", "z", 1, 0, False, None
                    )
                    for n in range(3_000)
                ]
            )
        ),
    ),
}


class FloodNode(FloodServer):
    """A node that answers a call with frames without end.

    Attributes:
      record: Its record, with a server that is ready.
    """

    def __init__(self, host, port, service, first, piece):
        super().__init__(first, piece)
        address = f"{host}:{port}"
        self.record = NodeRecord(
            address,
            "z0",
            1,
            0,
            False,
            InstanceRecord(
                "i-flood", 1, 1, service, "v1", 64, True, False, 0.0, address
            ),
        )

    async def announce(self, store):
        """Writes the record into the store's list of nodes."""
        await store.put(
            NODES_TOPIC,
            self.record.address,
            msgspec.msgpack.encode(self.record),
        )

    async def answer(self, reader, writer):
        """Greets, and floods after the first frame behind the hello."""
        await self._read_frame(reader)
        writer.write(frame(Welcome(self.record, [], [], NO_LOAD)))
        await writer.drain()
        await self._read_frame(reader)
        await self.flood(writer)

    async def _read_frame(self, reader):
        (length,) = struct.unpack(">I", await reader.readexactly(4))
        return await reader.readexactly(length)
