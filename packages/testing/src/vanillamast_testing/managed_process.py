"""A child process that never outlives the harness."""

import asyncio
import ctypes
import functools
import os
import pathlib
import signal
from collections.abc import Mapping, Sequence

PR_SET_PDEATHSIG = 1
KILL_WAIT_S = 10.0

_libc = ctypes.CDLL(None, use_errno=True)


def kill_with_parent(parent: int) -> None:
    """Lets the kernel end this process, a child, if its parent is killed.

    Args:
      parent: Process id of the parent.
    """
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:
        # It was killed before, so the kernel sends no signal.
        os._exit(1)


class ManagedProcess:
    """One process of the fleet.

    Attributes:
      name: Name for messages.
      arguments: Program and arguments.
      log_path: File that takes its output, appended at each start.
      environment: Variables of the process, None for the harness's own.
      process: The running process, None before the first start.
    """

    def __init__(
        self,
        name: str,
        arguments: Sequence[str],
        log_path: pathlib.Path,
        environment: Mapping[str, str] | None = None,
    ):
        self.name = name
        self.arguments = tuple(arguments)
        self.log_path = log_path
        self.environment = environment
        self.process: asyncio.subprocess.Process | None = None

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Starts the process."""
        with self.log_path.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *self.arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=self.environment,
                preexec_fn=functools.partial(kill_with_parent, os.getpid()),
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process runs."""
        if self.running:
            assert self.process is not None
            self.process.send_signal(number)

    async def stop(self, timeout_s: float) -> int | None:
        """Asks the process to stop.

        Args:
          timeout_s: Time after which it is killed.

        Returns:
          Its exit status; None if it had to be killed or never ran.
        """
        if self.process is None:
            return None
        self.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.process.wait(), timeout_s)
        except TimeoutError:
            await self.kill()
            return None

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await asyncio.wait_for(self.process.wait(), KILL_WAIT_S)
