"""Tests that an interrupted demo leaves no process."""

import pathlib
import signal
import subprocess
import sys
import time

import psutil
import pytest

START_LIMIT_S = 60.0


def processes_with(text: str) -> list[psutil.Process]:
    """Returns the processes whose command line holds a text."""
    found = []
    for process in psutil.process_iter(["cmdline"]):
        if any(text in part for part in process.info["cmdline"] or ()):
            found.append(process)
    return found


class TestInterruptedDemo:
    """Processes after the end of the demo."""

    @pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGKILL])
    def test_leaves_no_process(
        self, tmp_path: pathlib.Path, number: signal.Signals
    ):
        """Guards against nodes that outlive an interrupted demo."""
        marker = str(tmp_path / "demo")
        demo = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "vanillamast_testing.demo",
                f"--directory={marker}",
            ],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        deadline = time.monotonic() + START_LIMIT_S
        while len(processes_with(marker)) < 10:
            assert time.monotonic() < deadline
            time.sleep(0.2)
        demo.send_signal(number)
        assert demo.wait(START_LIMIT_S) != 0
        deadline = time.monotonic() + START_LIMIT_S
        while processes_with(marker):
            assert time.monotonic() < deadline
            time.sleep(0.2)
