"""Runs the operators' command as a process."""

import asyncio
import dataclasses
import sys

COMMAND_TIMEOUT_S = 30.0


@dataclasses.dataclass(slots=True, frozen=True)
class CommandResult:
    """The result of a command.

    Attributes:
      status: Its exit status.
      output: What it printed, errors included.
    """

    status: int
    output: str


async def run_operator_command(node: str, command: str) -> CommandResult:
    """Runs `vanillamast` with one command of the operators' language.

    Args:
      node: "ip:port" of a node's listener for operators.
      command: The command, such as "show moves".
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "vanillamast_cli.main",
        f"--node={node}",
        command,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        output, _ = await asyncio.wait_for(
            process.communicate(), COMMAND_TIMEOUT_S
        )
    except (TimeoutError, asyncio.CancelledError):
        process.kill()
        await process.wait()
        raise
    assert process.returncode is not None
    return CommandResult(process.returncode, output.decode())
