"""Stand-ins for the scripts of the second review, and the node processes.

The store, servers and requesters speak what the users' pages say, on loopback
addresses, one address a machine. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import secrets
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "tintero.example"
REQUEST_ID = "x-vanillamast-request-id"
DEADLINE_MS = "x-vanillamast-deadline-ms"
EXPECTED_INSTANCE = "x-vanillamast-expect-instance"
SIGNATURE = "X-Vanillamast-Response-Signature"
NOT_EXECUTED = "X-Vanillamast-Not-Executed"
METRICS_PORT = 9464  # As in deploy/system.toml.
PORT_NAMES = ("inbound", "outbound", "ready", "control", "app", "store")
DRAIN_S = 2.0
GRACE_S = 6.0
APPLY_S = 2.0
STABLE_WINDOW_S = 3.0
HEARTBEAT_S = 1.5
RESTART_DELAY_S = 0.5  # Between the end of a process and its next start.
MB = 1 << 20
LINK_PIECE_BYTES = 4096
PHRASES = {200: "OK", 503: "Service Unavailable", 421: "Misdirected Request"}

Headers = dict[str, str]


@dataclasses.dataclass
class Message:
    """A request or an answer.

    Attributes:
      start: The words of the start line.
      headers: Header fields; names in lower case.
      body: The whole body.
    """

    start: list[str]
    headers: Headers
    body: bytes = b""

    @property
    def status(self) -> int:
        """Returns the status of an answer."""
        return int(self.start[1])


@dataclasses.dataclass
class Reply:
    """What a handler answers."""

    status: int
    headers: Headers = dataclasses.field(default_factory=dict)
    body: bytes = b""


Handler = Callable[[Message, str], Awaitable[Reply | None]]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a message with a Content-Length; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        body = await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Message(lines[0].split(" ", 2), headers, body)


class Link:
    """The link of a machine, which its connections share.

    Attributes:
      bytes_per_s: Its bandwidth; 0 without a limit.
      free_at: When it has carried what was sent, in monotonic time.
    """

    def __init__(self) -> None:
        self.bytes_per_s = 0.0
        self.free_at = 0.0

    async def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Writes data in pieces at the pace of the link."""
        if not self.bytes_per_s:
            writer.write(data)
            await writer.drain()
            return
        for start in range(0, len(data), LINK_PIECE_BYTES):
            piece = data[start : start + LINK_PIECE_BYTES]
            now = time.monotonic()
            self.free_at = max(self.free_at, now)
            self.free_at += len(piece) / self.bytes_per_s
            await asyncio.sleep(self.free_at - now)
            writer.write(piece)
            await writer.drain()


async def listen(
    host: str, port: int, handler: Handler, link: Link | None = None
) -> asyncio.Server:
    """Serves HTTP/1.1 with kept connections.

    A handler that returns None closes the connection without an answer.
    """
    path = link or Link()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        own = writer.get_extra_info("sockname")[0]
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                reply = await handler(request, own)
                if reply is None:
                    writer.transport.abort()
                    break
                phrase = PHRASES.get(reply.status, "Status")
                lines = [f"HTTP/1.1 {reply.status} {phrase}"]
                lines += [
                    f"{key}: {text}" for key, text in reply.headers.items()
                ]
                lines.append(f"Content-Length: {len(reply.body)}")
                head = "\r\n".join(lines) + "\r\n\r\n"
                await path.write(writer, head.encode("latin-1") + reply.body)
        writer.close()

    return await asyncio.start_server(serve, host, port, limit=1 << 16)


class Store:
    """The platform's store: a log with keyed topics.

    Attributes:
      mode: "up", "busy" (503), or "silent" (no answer while it lasts).
      refused: Addresses of the store on which calls get 503.
      records: Raw records of each topic.
      newest: Newest value and offset of each key, by topic.
    """

    def __init__(self) -> None:
        self.mode = "up"
        self.refused: set[str] = set()
        self.records: dict[str, list[bytes]] = {}
        self.newest: dict[str, dict[str, tuple[bytes, int]]] = {}
        self.generation = 0
        self.changed = asyncio.Condition()

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a keyed record."""
        name = key.encode()
        self._append(topic, bytes((len(name),)) + name + value)
        async with self.changed:
            self.changed.notify_all()

    def _append(self, topic: str, record: bytes) -> None:
        records = self.records.setdefault(topic, [])
        if topic.startswith("keyed."):
            end = 1 + record[0]
            key = record[1:end].decode("utf-8", "replace")
            keys = self.newest.setdefault(topic, {})
            if record[end:]:
                keys[key] = (record[end:], len(records))
            else:
                keys.pop(key, None)
        records.append(record)

    async def handle(self, request: Message, own: str) -> Reply | None:
        """Answers a call that arrived at an address of the store."""
        if self.mode == "busy" or own in self.refused:
            return Reply(503)
        while self.mode == "silent":
            await asyncio.sleep(0.05)
        path, _, text = request.start[1].partition("?")
        query = dict(part.split("=", 1) for part in text.split("&") if part)
        topic = query.get("topic", "")
        if path == "/api/log-append":
            return await self._handle_append(topic, query, request.body)
        if path == "/api/log-read":
            return await self._handle_read(topic, query)
        if path == "/api/log-newest":
            return self._handle_newest(topic)
        if path == "/api/log-join":
            self.generation = max(1, self.generation)
            return _json({"generation": self.generation, "parts": []})
        return Reply(404)

    async def _handle_append(
        self, topic: str, query: dict[str, str], body: bytes
    ) -> Reply:
        if topic in ("keyed.op", "keyed.servers"):
            return Reply(403)
        end = len(self.records.get(topic, ()))
        if "at" in query and int(query["at"]) != end:
            return _json({"end_offset": end}, 412)
        position = 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            position += 4
            self._append(topic, body[position : position + size])
            position += size
        async with self.changed:
            self.changed.notify_all()
        return _json(
            {"offset": end, "end_offset": len(self.records.get(topic, ()))}
        )

    async def _handle_read(self, topic: str, query: dict[str, str]) -> Reply:
        start = int(query["from"])
        wait_s = min(30.0, int(query.get("wait_ms", "0")) / 1000.0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self.changed:
                while len(self.records.get(topic, ())) <= start:
                    await self.changed.wait()
        records = self.records.get(topic, [])
        head = struct.pack(">QQ", len(records), 0)
        most = int(query.get("max_kb", "1024")) * 1024
        body = b""
        for record in records[start:]:
            if body and len(body) + 4 + len(record) > most:
                break
            body += struct.pack(">I", len(record)) + record
        return Reply(200, {}, head + body)

    def _handle_newest(self, topic: str) -> Reply:
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in sorted(
                self.newest.get(topic, {}).items()
            )
        ]
        end = len(self.records.get(topic, ()))
        return _json({"items": items, "more": False, "end_offset": end})


def _json(value: object, status: int = 200) -> Reply:
    body = json.dumps(value).encode()
    return Reply(status, {"Content-Type": "application/json"}, body)


class Record:
    """Writes what was sent, answered and run to a file.

    Attributes:
      started_at: Monotonic time that lines count from.
    """

    def __init__(self, path: pathlib.Path):
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Writes a line with the time."""
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()

    def close(self, verdict: str) -> None:
        """Writes the last line."""
        self.write(verdict)
        print(verdict)
        self.file.close()


class Server:
    """A server beside a node.

    Attributes:
      id: Its id.
      machine: Its machine.
      work_s: How long a request takes.
      slots: Requests that it runs at once.
      sequence: Number of the last ping.
      runs: Monotonic time and id of each request that it ran.
      pinging: Whether it sends pings.
    """

    def __init__(self, machine: "Machine", service: str):
        self.id = f"i-{secrets.token_hex(5)}"
        self.machine = machine
        self.service = service
        self.version = "v1"
        self.work_s = 0.05
        self.slots = 9
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs: list[tuple[float, str]] = []
        self.running = 0
        self.pinging = True
        self.on_run: Callable[[Message], None] = lambda _: None
        self.listener: asyncio.Server | None = None
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to listen and to send pings."""
        ports = self.machine.fleet.ports
        self.listener = await listen(self.machine.ip, ports["app"], self.handle)
        self.task = asyncio.create_task(self._ping())

    def make_ping(self) -> dict[str, object]:
        """Returns the body of the next ping."""
        self.sequence += 1
        port = self.machine.fleet.ports["app"]
        return {
            "service": self.service,
            "addr": f"{self.machine.ip}:{port}",
            "zone": self.machine.zone,
            "version": self.version,
            "max_concurrency": self.slots,
            "state": "ready",
            "cold_left_s": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def call(self, action: str, body: dict[str, object]) -> bool:
        """Makes a call to the node; returns whether it acknowledged it."""
        answer = await send(
            self.machine.ip,
            self.machine.fleet.ports["control"],
            "POST",
            f"/api/instances/{self.id}/{action}",
            {"Content-Type": "application/json"},
            json.dumps(body).encode(),
            timeout_s=1.0,
        )
        return answer is not None and answer.status == 200

    async def _ping(self) -> None:
        while True:
            if self.pinging:
                await self.call("heartbeat", self.make_ping())
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, request: Message, own: str) -> Reply | None:
        """Runs a request."""
        del own
        request_id = request.headers.get(REQUEST_ID, "")
        headers = {"X-Vanillamast-Request-Id": request_id}
        expected = request.headers.get(EXPECTED_INSTANCE)
        if expected is not None and expected != self.id:
            return Reply(421, headers)
        if self.running >= self.slots:
            return Reply(503, {**headers, NOT_EXECUTED: "full"})
        self.running += 1
        self.runs.append((time.monotonic(), request_id))
        self.on_run(request)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        headers[SIGNATURE] = f"{self.id}.{len(self.runs)}"
        return Reply(200, headers, f"{self.id} {request.start[1]}".encode())

    async def stop(self) -> None:
        """Ends the server."""
        if self.task is not None:
            self.task.cancel()
        if self.listener is not None:
            self.listener.close()


async def send(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: Headers,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Message | None:
    """Sends a request on a new connection; None without a whole answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if "Host" not in headers:
                lines.append(f"Host: {host}:{port}")
            if body or method not in ("GET", "HEAD"):
                lines.append(f"Content-Length: {len(body)}")
            head = "\r\n".join(lines) + "\r\n\r\n"
            writer.write(head.encode("latin-1"))
            if body:
                writer.write(body)
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


class Machine:
    """A machine with its node process.

    Attributes:
      fleet: The fleet.
      name: Its name.
      ip: Its loopback address.
      zone: Its zone.
      store_ip: Address at which it reaches the store.
      service: Service of its server.
      memory_mb: Memory that the node may use.
      link: The machine's link, as far as answers of the store take it.
      process: The node's process; None before its first start.
      keeper: Starts the node again after an end.
    """

    def __init__(self, fleet: "Fleet", name: str, ip: str, zone: str):
        self.fleet = fleet
        self.name = name
        self.ip = ip
        self.zone = zone
        self.store_ip = ""
        self.service = ""
        self.memory_mb = 300
        # What the store's answers to this machine share.
        self.link = Link()
        self.server: Server | None = None
        self.process: asyncio.subprocess.Process | None = None
        self.keeper: asyncio.Task[None] | None = None
        self.wanted = True

    @property
    def log_path(self) -> pathlib.Path:
        """Returns the file that takes the node's output."""
        return self.fleet.folder / f"{self.name}.log"

    def _write_settings(self) -> pathlib.Path:
        path = self.fleet.folder / f"{self.name}.toml"
        ports = self.fleet.ports
        lines = [
            f'node = "{self.name}"',
            'role = "node"',
            'class = "sidecar"',
            'serves = ["sidecar"]',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            'region = "r"',
            "internal_ports = [17620,17635]",
            "seeds = []",
            "bootstrap = true",
            f"heartbeat_s = {HEARTBEAT_S}",
            f'app_addr = "{self.ip}:{ports["app"]}"',
            f'service = "{self.service}"',
            "[listen]",
        ]
        lines += [
            f'{name} = "{self.ip}:{ports[name]}"'
            for name in ("inbound", "outbound", "ready", "control")
        ]
        lines += [
            "[limits]",
            "cpu_share = 0.86",
            f"memory_mb = {self.memory_mb}",
            "max_fds = 4100",
            "link_mbps = 1000.0",
            "[bounds]",
            f"drain_s = {DRAIN_S}",
            f"grace_s = {GRACE_S}",
            f"apply_s = {APPLY_S}",
            f"stable_window_s = {STABLE_WINDOW_S}",
            "retry_ratio = 0.2",
            "retry_window_s = 10",
            "retry_slack = 60",
            "expose_share = 0.1",
            "expose_slack = 50",
            "rollback_s = 5",
            "quota_window_s = 5",
            "quota_over = 0.1",
            "quota_slack = 20",
            "[platform]",
            f'addr = "{self.store_ip}:{ports["store"]}"',
            'form = "log"',
            "writes_per_s = 400",
            "reads_per_s = 2000",
            "ttl_min_s = 1",
        ]
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start(self) -> None:
        """Starts the node with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["VANILLAMAST_BOOT"] = str(self._write_settings())
        with self.log_path.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "vanillamast_platform",
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=environment,
            )
        if self.keeper is None:
            self.keeper = asyncio.create_task(self._keep())

    async def _keep(self) -> None:
        """Starts the node again a short time after its end, as a platform."""
        while True:
            assert self.process is not None
            status = await self.process.wait()
            self.fleet.record.write(f"node {self.name} ended, {status}")
            await asyncio.sleep(RESTART_DELAY_S)
            if not self.wanted:
                return
            await self.start()
            self.fleet.record.write(f"node {self.name} started again")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the node."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Returns whether the node says that it is ready."""
        answer = await send(
            self.ip,
            self.fleet.ports["ready"],
            "GET",
            "/api/ready",
            {},
            timeout_s=1.0,
        )
        return answer is not None and answer.status == 200

    async def request(
        self,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_s: float = 2.0,
        headers: Headers | None = None,
    ) -> tuple[str, Message | None]:
        """Sends a request as a requester of this machine.

        Returns:
          Its id, and the answer if there was a whole one.
        """
        request_id = f"{self.fleet.prefix}{next(self.fleet.numbers):08x}"
        answer = await send(
            self.ip,
            self.fleet.ports["outbound"],
            method,
            path,
            {
                "Host": HOST,
                "X-Vanillamast-Request-Id": request_id,
                "X-Vanillamast-Deadline-Ms": str(int(deadline_s * 1000)),
                **(headers or {}),
            },
            body,
            deadline_s + 1.0,
        )
        return request_id, answer


class Fleet:
    """All machines, the store and the operator.

    Attributes:
      record: Takes what happens.
      store: The store.
      machines: The machines by name.
      routes: Routes of the next configuration by name.
      tenants: Tenants of the next configuration by name.
      ports: Ports by what they serve, the same on all machines.
    """

    def __init__(self, record: Record, folder: pathlib.Path):
        self.record = record
        self.folder = folder
        self.store = Store()
        self.machines: dict[str, Machine] = {}
        self.routes: dict[str, dict[str, object]] = {}
        self.tenants: dict[str, dict[str, object]] = {}
        self.version = 0
        self.prefix = secrets.token_hex(4)
        self.numbers = itertools.count(1)
        self.network = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.ports = _find_ports(self.network)
        self.listeners: list[asyncio.Server] = []

    async def add(
        self, name: str, zone: str, service: str, memory_mb: int = 300
    ) -> Machine:
        """Adds a machine with a server and starts its node."""
        ip = f"{self.network}.{len(self.machines) + 1}"
        machine = Machine(self, name, ip, zone)
        machine.service = service
        machine.memory_mb = memory_mb
        # Each machine has its own, which shows whose calls arrive.
        machine.store_ip = f"{self.network}.{100 + len(self.machines)}"
        self.listeners.append(
            await listen(
                machine.store_ip,
                self.ports["store"],
                self.store.handle,
                machine.link,
            )
        )
        self.machines[name] = machine
        machine.server = Server(machine, service)
        await machine.start()
        await machine.server.start()
        return machine

    def set_route(self, name: str, service: str, **fields: object) -> None:
        """Adds or replaces a route of the next configuration."""
        self.routes[name] = {
            "host": HOST,
            "path_prefix": f"/{name}/",
            "kind": "idempotent",
            "timeout_s": 2.0,
            "target_latency_s": 0.8,
            "priority": 1,
            "max_attempts": 2,
            "service": service,
            **fields,
        }

    async def publish(self) -> None:
        """Publishes a configuration."""
        self.version += 3
        groups = {"routes": self.routes, "tenants": self.tenants}
        resources = [
            {"entry_type": kind, "metadata": {"name": name}, "spec": spec}
            for kind, entries in groups.items()
            for name, spec in entries.items()
        ]
        resources.extend(
            {
                "entry_type": "services",
                "metadata": {"name": service},
                "spec": {"health_path": "/health", "max_conns": 120},
            }
            for service in {m.service for m in self.machines.values()}
        )
        limits = {
            "header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        }
        resources.append(
            {"entry_type": "limits", "metadata": {}, "spec": limits}
        )
        value = {"version": self.version, "resources": resources}
        await self.store.put("keyed.op", "config", json.dumps(value).encode())
        self.record.write(
            f"operator: configuration {self.version} acknowledged"
        )

    async def wait_until_ready(self) -> None:
        """Waits until all nodes are ready and know all servers."""
        async with asyncio.timeout(30.0):
            for machine in self.machines.values():
                while not await machine.is_ready():
                    await asyncio.sleep(0.05)
        await asyncio.sleep(HEARTBEAT_S + 0.5)

    async def stop(self) -> None:
        """Ends everything that was started."""
        for machine in self.machines.values():
            machine.wanted = False
            if machine.keeper is not None:
                machine.keeper.cancel()
            if machine.server is not None:
                await machine.server.stop()
            machine.signal(signal.SIGKILL)
        for machine in self.machines.values():
            if machine.process is not None:
                await machine.process.wait()
        for listener in self.listeners:
            listener.close()


def _find_ports(network: str) -> dict[str, int]:
    """Returns free ports."""
    ports = {}
    sockets = []
    for name in PORT_NAMES:
        probe = socket.socket()
        probe.bind((f"{network}.1", 0))
        sockets.append(probe)
        ports[name] = probe.getsockname()[1]
    for probe in sockets:
        probe.close()
    return ports


Case = Callable[[Fleet, bool], Awaitable[bool]]


def run_case(case: Case, folder: pathlib.Path) -> int:
    """Runs a case; returns 1 if the rule was broken, 0 if it held, else 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write(f"trouble: {trouble}")

    async def run() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            fleet = Fleet(record, pathlib.Path(temporary))
            try:
                async with asyncio.timeout(115.0):
                    held = await case(fleet, trouble)
                record.close("the rule held" if held else "RULE BROKEN")
                return 0 if held else 1
            finally:
                await fleet.stop()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for name, machine in fleet.machines.items():
                        text = machine.log_path.read_text()
                        pathlib.Path(keep, f"{name}.log").write_text(text)

    try:
        return asyncio.run(run())
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return 2
