"""Tests of the stand-ins as processes."""

import asyncio
import contextlib
import json
import pathlib
import sys
from collections.abc import AsyncIterator

import aiohttp

HANG_TIMEOUT_S = 30.0


@contextlib.asynccontextmanager
async def command(
    module: str, *flags: str
) -> AsyncIterator[tuple[asyncio.subprocess.Process, str]]:
    """Runs a command of the package; yields it and its address."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"vanillamast_testing.{module}",
        "--run_for_s=60",
        *flags,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    try:
        line = await asyncio.wait_for(process.stdout.readline(), HANG_TIMEOUT_S)
        yield process, line.decode().split()[-1]
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


class TestCommands:
    """The commands that the demo starts."""

    async def test_platform_log_survives_a_kill(self, tmp_path: pathlib.Path):
        """Guards against a demo restart that loses the log."""
        flags = ("--address=127.0.0.1:0", f"--data={tmp_path / 'log'}")
        async with aiohttp.ClientSession() as session:
            for expected in (1, 2):
                async with command("platform_log", *flags) as (_, address):
                    url = f"http://{address}/v1/append"
                    async with session.post(url, data=b"x") as answer:
                        assert await answer.json() == {"offset": expected}

    async def test_backend_finishes_what_is_in_flight(self):
        """Guards against a planned stop that cuts an answer off."""
        flags = ("--service=s", "--version=2", "--work_ms=300")
        async with (
            command("backend_server", *flags) as (process, address),
            aiohttp.ClientSession() as session,
        ):
            request = asyncio.create_task(session.get(f"http://{address}/x"))
            status = f"http://{address}/control/status"
            async with asyncio.timeout(HANG_TIMEOUT_S):
                running = 0
                while not running:
                    async with session.get(status) as answer:
                        running = (await answer.json())["running"]
            process.terminate()
            answer = await asyncio.wait_for(request, HANG_TIMEOUT_S)
            assert len(await answer.read()) == 64
            assert await asyncio.wait_for(process.wait(), HANG_TIMEOUT_S) == 0

    async def test_wrong_flag_is_a_usage_error(self):
        """Guards against a misspelt badness that starts a good server."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "vanillamast_testing.backend_server",
            "--service=s",
            "--version=1",
            f"--badness={json.dumps({'kind': 'sloow'})}",
            stderr=asyncio.subprocess.PIPE,
        )
        _, stderr = await asyncio.wait_for(
            process.communicate(), HANG_TIMEOUT_S
        )
        assert process.returncode == 2
        assert b"unknown badness 'sloow'; known: none, fails" in stderr
