"""Command: the stand-in of the platform's append-only log.

Run as `python -m vanillamast_testing.platform_log --address=127.0.0.1:9400`.
"""

import asyncio
import pathlib
import random
import sys

from absl import flags

from vanillamast_testing.app_server import serve, wait_for_stop
from vanillamast_testing.command_flags import parse_flags
from vanillamast_testing.platform_log_app import PlatformLog
from vanillamast_testing.platform_log_settings import PlatformLogSettings
from vanillamast_testing.platform_log_store import PlatformLogStore

_DEFAULTS = PlatformLogSettings()
FLAGS = flags.FlagValues()
flags.DEFINE_multi_string(
    "address",
    ["127.0.0.1:9400"],
    "ip:port to listen on; repeat it for one address per failure domain.",
    flag_values=FLAGS,
)
flags.DEFINE_string(
    "data",
    None,
    "File that keeps the records across a restart; memory only without it.",
    flag_values=FLAGS,
)
flags.DEFINE_integer(
    "retain_count",
    _DEFAULTS.retain_count,
    "Records that are kept.",
    lower_bound=1,
    flag_values=FLAGS,
)
flags.DEFINE_float(
    "retain_s",
    _DEFAULTS.retain_s,
    "Seconds for which a record is kept.",
    lower_bound=0,
    flag_values=FLAGS,
)
flags.DEFINE_float(
    "appends_per_s",
    _DEFAULTS.appends_per_s,
    "Appends that are taken in a second.",
    lower_bound=0,
    flag_values=FLAGS,
)
flags.DEFINE_integer("seed", 1, "Seed of the lost answers.", flag_values=FLAGS)
flags.DEFINE_float(
    "run_for_s", 3600.0, "Stops after so many seconds.", flag_values=FLAGS
)


async def main() -> None:
    """Serves until a signal arrives or the time is over."""
    settings = PlatformLogSettings(
        retain_count=FLAGS.retain_count,
        retain_s=FLAGS.retain_s,
        appends_per_s=FLAGS.appends_per_s,
    )
    path = pathlib.Path(FLAGS.data) if FLAGS.data else None
    store = PlatformLogStore(settings, path)
    log = PlatformLog(store, random.Random(FLAGS.seed))
    async with serve(log.app(), *FLAGS.address) as addresses:
        sys.stdout.write(f"platform log at {', '.join(addresses)}\n")
        sys.stdout.flush()
        await wait_for_stop(FLAGS.run_for_s)


def run() -> None:
    """Entry point of the command."""
    parse_flags(FLAGS, sys.argv, __doc__ or "")
    asyncio.run(main())


if __name__ == "__main__":
    run()
