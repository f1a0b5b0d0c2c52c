"""Starts and stops the processes of the benchmark."""

import asyncio
import contextlib
import multiprocessing
from collections.abc import Callable, Coroutine, Iterator, Sequence
from typing import Any

import psutil

from vanillamast_testing.bench_requests.bench_node import run_node
from vanillamast_testing.bench_requests.timed_backend import TimedBackend

RESPONSE_TIMEOUT_S = 20.0
_CONTEXT = multiprocessing.get_context("spawn")


class BenchProcess:
    """A child process that serves the benchmark.

    Attributes:
      pipe: Connection to the process.
      process: The process.
      startup_message: What the process sent once it was ready.
    """

    def __init__(
        self, main: Callable[..., Coroutine[Any, Any, None]], *arguments: Any
    ):
        self.pipe, other = _CONTEXT.Pipe()
        self.process = _CONTEXT.Process(
            target=_run, args=(main, other, *arguments), daemon=True
        )
        self.process.start()
        self.startup_message = self.receive()

    def receive(self) -> Any:
        """Returns the next message.

        Raises:
          TimeoutError: The process sent no message in time.
        """
        if not self.pipe.poll(RESPONSE_TIMEOUT_S):
            raise TimeoutError(
                f"benchmark process sent nothing in {RESPONSE_TIMEOUT_S:g} s"
            )
        return self.pipe.recv()

    def stop(self) -> Any:
        """Stops the process and returns its counters."""
        self.pipe.send("stop")
        counters = self.receive()
        self.process.join(RESPONSE_TIMEOUT_S)
        return counters

    def cpu_s(self) -> float:
        """Returns the processor time that the process has used."""
        times = psutil.Process(self.process.pid).cpu_times()
        return times.user + times.system


@contextlib.contextmanager
def run_backend_process(
    servers: Sequence[tuple[float, int]],
) -> Iterator[tuple[BenchProcess, list[str]]]:
    """Runs backend servers in one process.

    Args:
      servers: Service time in seconds and number of slots of each server.
    """
    worker = BenchProcess(serve_backends, servers)
    try:
        yield worker, worker.startup_message
    finally:
        worker.process.kill()


@contextlib.contextmanager
def run_node_process(
    servers: Sequence[tuple[str, int]], policy: str, log: str
) -> Iterator[tuple[BenchProcess, str]]:
    """Runs a node in front of backend servers."""
    worker = BenchProcess(run_node, servers, policy, log)
    try:
        yield worker, worker.startup_message
    finally:
        worker.process.kill()


async def serve_backends(
    pipe: Any, servers: Sequence[tuple[float, int]]
) -> None:
    """Runs backend servers until a message arrives, then sends counters."""
    running = [TimedBackend(service_s, slots) for service_s, slots in servers]
    for server in running:
        await server.start()
    pipe.send([server.address for server in running])
    await asyncio.to_thread(pipe.recv)
    pipe.send([(server.served, server.shed) for server in running])


def _run(
    main: Callable[..., Coroutine[Any, Any, None]],
    pipe: Any,
    *arguments: Any,
) -> None:
    asyncio.run(main(pipe, *arguments))
