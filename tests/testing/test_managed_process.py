"""Tests of child processes that end with their parent."""

import functools
import os
import subprocess
import sys

from vanillamast_testing.managed_process import kill_with_parent

SLEEP = [sys.executable, "-c", "import time; time.sleep(60)"]
LIMIT_S = 30.0


class TestKillWithParent:
    """A child does not outlive a harness that is killed."""

    def test_a_parent_that_was_killed_before(self):
        """Guards against children that are started as the harness is killed."""
        child = subprocess.Popen(
            SLEEP, preexec_fn=functools.partial(kill_with_parent, -1)
        )
        assert child.wait(LIMIT_S) == 1

    def test_a_parent_that_lives(self):
        """Guards against children that end at their start."""
        child = subprocess.Popen(
            SLEEP, preexec_fn=functools.partial(kill_with_parent, os.getpid())
        )
        try:
            assert child.poll() is None
        finally:
            child.kill()
            child.wait(LIMIT_S)
