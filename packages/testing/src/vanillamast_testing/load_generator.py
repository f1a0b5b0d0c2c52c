"""Command: a caller with an open-loop rate.

Run as `python -m vanillamast_testing.load_generator
--target=127.0.0.1:9201 --rate=50 --duration_s=5 --read=/browse`.
"""

import asyncio
import sys

import msgspec
from absl import flags

from vanillamast_testing.command_flags import parse_flags
from vanillamast_testing.load_settings import LoadSettings
from vanillamast_testing.open_loop import LoadGenerator

_DEFAULTS = LoadSettings(targets=())
FLAGS = flags.FlagValues()
flags.DEFINE_multi_string("target", None, "Nodes, ip:port.", flag_values=FLAGS)
flags.mark_flag_as_required("target", flag_values=FLAGS)
flags.DEFINE_float(
    "rate", _DEFAULTS.rate, "Requests a second.", 0.01, flag_values=FLAGS
)
flags.DEFINE_float(
    "duration_s", _DEFAULTS.duration_s, "Seconds.", 0, 3600, flag_values=FLAGS
)
flags.DEFINE_multi_string("read", ["/"], "GET paths.", flag_values=FLAGS)
flags.DEFINE_multi_string("post", [], "POST paths.", flag_values=FLAGS)
flags.DEFINE_float(
    "post_share", 0.0, "Share of posts.", 0, 1, flag_values=FLAGS
)
flags.DEFINE_integer(
    "answer_bytes", _DEFAULTS.answer_bytes, "Size.", 0, flag_values=FLAGS
)
flags.DEFINE_integer(
    "post_bytes", _DEFAULTS.post_bytes, "Size.", 0, flag_values=FLAGS
)
flags.DEFINE_float("delay_ms", 0.0, "Extra work.", 0, flag_values=FLAGS)
flags.DEFINE_integer(
    "deadline_ms", _DEFAULTS.deadline_ms, "Deadline.", 1, flag_values=FLAGS
)
flags.DEFINE_float(
    "timeout_s", _DEFAULTS.timeout_s, "Time limit.", 0.01, flag_values=FLAGS
)
flags.DEFINE_integer(
    "repeats", 0, "Repeats of an unclear post.", 0, flag_values=FLAGS
)
flags.DEFINE_integer("seed", 1, "Seed of the mix.", flag_values=FLAGS)
flags.DEFINE_string(
    "records", None, "File for the records, JSON lines.", flag_values=FLAGS
)


def settings_from_flags() -> LoadSettings:
    """Returns the settings that the command line asks for."""
    return LoadSettings(
        targets=tuple(FLAGS.target),
        rate=FLAGS.rate,
        duration_s=FLAGS.duration_s,
        reads=tuple(FLAGS.read),
        posts=tuple(FLAGS.post),
        post_share=FLAGS.post_share,
        answer_bytes=FLAGS.answer_bytes,
        post_bytes=FLAGS.post_bytes,
        delay_ms=FLAGS.delay_ms,
        deadline_ms=FLAGS.deadline_ms,
        timeout_s=FLAGS.timeout_s,
        repeats=FLAGS.repeats,
        seed=FLAGS.seed,
    )


def run() -> None:
    """Entry point of the command."""
    parse_flags(FLAGS, sys.argv, __doc__ or "")
    generator = LoadGenerator(settings_from_flags())
    summary = asyncio.run(generator.run())
    if FLAGS.records:
        lines = [msgspec.json.encode(r) + b"\n" for r in generator.records]
        with open(FLAGS.records, "wb") as file:
            file.writelines(lines)
    text = msgspec.json.format(msgspec.json.encode(summary), indent=2)
    sys.stdout.write(text.decode() + "\n")


if __name__ == "__main__":
    run()
