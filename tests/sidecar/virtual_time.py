"""Event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the loop's clock by the time that it would wait.

    Attributes:
      now: Time of the loop, in seconds.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Returns what is ready; without it, lets the time pass."""
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs tasks that only wait for timers and for each other."""

    def __init__(self):
        self.jumping = _JumpingSelector()
        super().__init__(self.jumping)

    def time(self):
        """Returns the virtual time, in seconds."""
        return self.jumping.now


def run(coroutine):
    """Runs a coroutine in virtual time and returns its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
