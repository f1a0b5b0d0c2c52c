"""Command that runs soaks with several seeds: `make soak`."""

import asyncio
import collections
import pathlib
import sys

from absl import flags

from vanillamast_testing.command_flags import parse_flags
from vanillamast_testing.soak.soak import Soak
from vanillamast_testing.soak.soak_checks import find_violations
from vanillamast_testing.soak.soak_settings import SoakSettings

USAGE = "Runs soaks of real nodes on the emulated platform, one after another."
FLAGS = flags.FlagValues()
flags.DEFINE_integer(
    "seeds", 1, "Number of soaks.", lower_bound=1, flag_values=FLAGS
)
flags.DEFINE_integer(
    "first_seed", 1, "Seed of the first soak.", flag_values=FLAGS
)
flags.DEFINE_float(
    "seconds",
    20.0,
    "Seconds of disturbances in each soak.",
    lower_bound=0.0,
    flag_values=FLAGS,
)
flags.DEFINE_string(
    "network",
    "127.41",
    "First two numbers of the loopback addresses; soaks that run at the same"
    " time need different ones.",
    flag_values=FLAGS,
)
flags.DEFINE_string(
    "folder",
    "out/soak",
    "Folder of settings files and logs.",
    flag_values=FLAGS,
)


def main(argv: list[str]) -> int:
    """Runs the soaks; returns 1 if anything did not hold."""
    parse_flags(FLAGS, argv, USAGE)
    broken = 0
    for seed in range(FLAGS.first_seed, FLAGS.first_seed + FLAGS.seeds):
        folder = pathlib.Path(FLAGS.folder) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        settings = SoakSettings(
            seed, duration_s=FLAGS.seconds, network=FLAGS.network
        )
        record = asyncio.run(Soak(settings, folder).run())
        statuses = collections.Counter(
            request.answer.status for request in record.requests
        )
        violations = find_violations(record)
        broken += bool(violations)
        print(
            f"seed {seed}: {len(record.disturbances)} disturbances, answers by"
            f" status {dict(sorted(statuses.items()))},"
            f" {len(violations)} violations"
        )
        for violation in violations:
            print(f"  {violation}")
        sys.stdout.flush()
    print(f"{FLAGS.seeds} soaks, {broken} with violations")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
