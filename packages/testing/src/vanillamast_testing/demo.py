"""The demo: the main job of vanillamast, end to end, on one machine.

Run as `python -m vanillamast_testing.demo --deployment=tintero`. Exit status 0
only if each shown outcome held.
"""

import asyncio
import pathlib
import random
import signal
import sys
import tempfile

from absl import flags

from vanillamast_testing.command_flags import parse_flags
from vanillamast_testing.demo_report import DemoReport
from vanillamast_testing.demo_run import DemoRun
from vanillamast_testing.deployment import deployments
from vanillamast_testing.fleet import Fleet
from vanillamast_testing.fleet_settings import FleetSettings

FLAGS = flags.FlagValues()
flags.DEFINE_enum(
    "deployment",
    "tintero",
    list(deployments),
    "Deployment to show.",
    flag_values=FLAGS,
)
flags.DEFINE_string(
    "directory", None, "Keeps settings and logs here.", flag_values=FLAGS
)
EXIT_HELD = 0
EXIT_FAILED = 1
EXIT_INTERRUPTED = 130
# Keyed posts are refused as unclear until a node has been the key's home node
# for longer than this margin; 1 s is the least that covers the clocks of one
# machine.
NODE_SETTINGS = {"requests": {"key_margin_s": 1.0}}


async def show(name: str, directory: pathlib.Path) -> DemoReport:
    """Runs the demo of a deployment."""
    settings = FleetSettings(
        directory=directory,
        network=f"127.{random.randint(16, 250)}.{random.randint(1, 250)}",
        node_settings=NODE_SETTINGS,
    )
    async with Fleet(settings) as fleet:
        return await DemoRun(fleet, deployments.get(name)).run()


async def main(name: str, directory: pathlib.Path) -> int:
    """Runs the demo until it ends or is interrupted.

    Returns:
      The exit status.
    """
    task = asyncio.create_task(show(name, directory))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    try:
        report = await task
    except asyncio.CancelledError:
        print("interrupted")
        return EXIT_INTERRUPTED
    print("\n" + report.table())
    return EXIT_HELD if report.held() else EXIT_FAILED


def run() -> None:
    """Entry point of the command."""
    parse_flags(FLAGS, sys.argv, __doc__ or "")
    with tempfile.TemporaryDirectory(prefix="vanillamast-") as temporary:
        directory = pathlib.Path(FLAGS.directory or temporary)
        directory.mkdir(parents=True, exist_ok=True)
        status = asyncio.run(main(FLAGS.deployment, directory))
    sys.exit(status)


if __name__ == "__main__":
    run()
