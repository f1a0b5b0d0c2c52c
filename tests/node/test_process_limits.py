"""Tests that restrict what a node's process may do."""

import pathlib
import socket
import subprocess
import sys
import textwrap

import yaml

# Runs a node for 2 s with an audit hook and reports the audited events.
AUDIT_PROGRAM = textwrap.dedent("""
    import asyncio, json, os, sys
    seen = []
    WATCHED = ("subprocess.Popen", "os.fork", "os.forkpty", "os.posix_spawn",
               "os.exec", "os.spawn", "os.system")
    sys.addaudithook(lambda name, args: name in WATCHED and seen.append(name))
    from vanillamast_node.node import Node
    from vanillamast_node.settings_file import load_settings

    async def main():
        task = asyncio.create_task(Node(load_settings(sys.argv[1])).run())
        await asyncio.sleep(2.0)
        links = [os.readlink(f"/proc/self/fd/{fd}")
                 for fd in os.listdir("/proc/self/fd")
                 if os.path.islink(f"/proc/self/fd/{fd}")]
        running = not task.done()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        loop = type(asyncio.get_running_loop()).__module__
        print(json.dumps([seen, [l for l in links if "uring" in l], running,
                          loop]))

    asyncio.run(main())
""")


def free_port() -> int:
    """Returns a port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class TestProcessLimits:
    """A node is a single process without io_uring."""

    def test_node_starts_no_process_and_uses_no_io_uring(
        self, tmp_path: pathlib.Path
    ):
        """Guards against a library that starts a process or opens io_uring."""
        names = ("callers", "peers", "servers", "operators")
        settings = {
            "instance": "one",
            "region": "r",
            "failure_domain": "a",
            "listen": {n: f"127.0.0.1:{free_port()}" for n in names},
            "platform": {"log_url": f"http://127.0.0.1:{free_port()}"},
            "log": {"path": str(tmp_path / "log.jsonl")},
        }
        path = tmp_path / "node.yaml"
        path.write_text(yaml.safe_dump(settings))
        result = subprocess.run(
            [sys.executable, "-c", AUDIT_PROGRAM, str(path)],
            capture_output=True,
            text=True,
            check=True,
        )
        seen, uring, running, loop = yaml.safe_load(result.stdout)
        assert running
        assert seen == []
        assert uring == []
        assert loop == "asyncio.unix_events"
