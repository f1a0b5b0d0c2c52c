"""Tests of signals that arrive while the process starts."""

import signal
import subprocess
import sys

EXIT_USAGE = 2
PROGRAM = """
import os, signal, sys
import vanillamast_platform.__main__ as program
from vanillamast_sidecar.errors import InvalidSettingsError

def load_settings(path):
    os.kill(os.getpid(), signal.{name})
    raise InvalidSettingsError("loaded")

program.load_settings = load_settings
sys.exit(program.main([]))
"""


def run(name):
    """Returns the exit status of a program that gets a signal at its start."""
    return subprocess.run(
        [sys.executable, "-c", PROGRAM.format(name=name)],
        capture_output=True,
        timeout=30.0,
        check=False,
    ).returncode


class TestEarlySignals:
    """A signal before the node has set its handlers."""

    def test_changed_settings_do_not_end_the_process(self):
        """Guards against a process that ends because its settings changed."""
        assert run("SIGHUP") == EXIT_USAGE

    def test_a_stop_ends_the_process_at_once(self):
        """Guards against a stop that is missed; nothing is accepted yet."""
        assert run("SIGTERM") == -signal.SIGTERM
