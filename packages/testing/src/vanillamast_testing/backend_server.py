"""Command: a fake backend server beside a node.

Run as `python -m vanillamast_testing.backend_server --service=browse
--version=1 --address=127.0.0.1:9500 --node_servers=127.0.0.1:9202`.
"""

import asyncio
import random
import sys

import aiohttp
from absl import flags

from vanillamast_testing.announcer import Announcer
from vanillamast_testing.app_server import serve, wait_for_stop
from vanillamast_testing.backend_app import Backend
from vanillamast_testing.backend_settings import BackendSettings, LoadReport
from vanillamast_testing.backend_state import MAX_DRAIN_PROPAGATION_S
from vanillamast_testing.badness import (
    Badness,
    BadnessError,
    badness_kinds,
    decode_badness,
)
from vanillamast_testing.command_flags import USAGE_STATUS, parse_flags

IN_FLIGHT_POLL_S = 0.05

FLAGS = flags.FlagValues()
flags.DEFINE_string(
    "address", "127.0.0.1:0", "ip:port to listen on.", flag_values=FLAGS
)
flags.DEFINE_string("service", None, "Its service.", flag_values=FLAGS)
flags.DEFINE_string("version", None, "Its version.", flag_values=FLAGS)
flags.mark_flags_as_required(["service", "version"], flag_values=FLAGS)
flags.DEFINE_string(
    "node_servers", "", "Node's ip:port for announcements.", flag_values=FLAGS
)
flags.DEFINE_string(
    "node_callers", "", "Node's ip:port for requests.", flag_values=FLAGS
)
flags.DEFINE_integer(
    "slots", 9, "Requests that run at once.", 1, flag_values=FLAGS
)
flags.DEFINE_integer(
    "queue_limit", 4, "Requests that may wait.", 0, flag_values=FLAGS
)
flags.DEFINE_integer(
    "connections", 120, "Connections to announce.", 1, flag_values=FLAGS
)
flags.DEFINE_float(
    "work_ms", 5.0, "Time of a request when warm.", 0, flag_values=FLAGS
)
flags.DEFINE_float(
    "start_s", 0.5, "Seconds in state starting.", 0, flag_values=FLAGS
)
flags.DEFINE_float(
    "cold_s", 3.0, "Seconds until it is warm.", 0.001, flag_values=FLAGS
)
flags.DEFINE_float(
    "cold_factor", 4.0, "Slowness when cold.", 1, flag_values=FLAGS
)
flags.DEFINE_enum_class(
    "load_report",
    LoadReport.MEASURED,
    LoadReport,
    "What it says about its load.",
    flag_values=FLAGS,
)
flags.DEFINE_float(
    "load_lag_s", 0.0, "Age of the reported load.", 0, flag_values=FLAGS
)
flags.DEFINE_string(
    "badness",
    "{}",
    "JSON object with kind (" + ", ".join(badness_kinds) + "), share, "
    "delay_ms, after_s, under_load, prefix.",
    flag_values=FLAGS,
)
flags.DEFINE_string(
    "run_log", "", "File for the ids of requests that run.", flag_values=FLAGS
)
flags.DEFINE_integer("seed", 1, "Seed of a partial badness.", flag_values=FLAGS)
flags.DEFINE_float(
    "run_for_s", 3600.0, "Stops after so many seconds.", flag_values=FLAGS
)


def settings_from_flags() -> BackendSettings:
    """Returns the settings that the command line asks for."""
    return BackendSettings(
        service=FLAGS.service,
        version=FLAGS.version,
        node_servers=FLAGS.node_servers,
        node_callers=FLAGS.node_callers,
        slots=FLAGS.slots,
        queue_limit=FLAGS.queue_limit,
        connections=FLAGS.connections,
        work_ms=FLAGS.work_ms,
        start_s=FLAGS.start_s,
        cold_s=FLAGS.cold_s,
        cold_factor=FLAGS.cold_factor,
        load_report=FLAGS.load_report,
        load_lag_s=FLAGS.load_lag_s,
        run_log=FLAGS.run_log,
    )


async def main(badness: Badness) -> None:
    """Serves until a signal arrives, then drains and stops."""
    settings = settings_from_flags()
    async with aiohttp.ClientSession() as session:
        rng = random.Random(FLAGS.seed)
        backend = Backend(settings, badness, rng, session)
        async with serve(backend.app(), FLAGS.address) as (address,):
            sys.stdout.write(f"{settings.service} at {address}\n")
            sys.stdout.flush()
            announcer = Announcer(
                settings, backend.state, backend.gauge, address
            )
            task = asyncio.create_task(announcer.run(session))
            await wait_for_stop(FLAGS.run_for_s)
            await drain(backend, announcer, session)
            task.cancel()


async def drain(
    backend: Backend, announcer: Announcer, session: aiohttp.ClientSession
) -> None:
    """Drains: finishes requests in flight and announces the stopped state."""
    loop = asyncio.get_running_loop()
    backend.state.start_final_drain(loop.time())
    await announcer.announce(session)
    if backend.settings.node_servers:
        await asyncio.sleep(MAX_DRAIN_PROPAGATION_S)
    limit = loop.time() + backend.settings.drain_limit_s
    while backend.slots.running and loop.time() < limit:
        await asyncio.sleep(IN_FLIGHT_POLL_S)
    backend.counts.interrupted = backend.slots.running
    backend.state.stopped = True
    await announcer.announce(session)
    sys.stdout.write(f"interrupted {backend.counts.interrupted}\n")


def run() -> None:
    """Entry point of the command."""
    parse_flags(FLAGS, sys.argv, __doc__ or "")
    try:
        badness = decode_badness(FLAGS.badness.encode())
    except BadnessError as error:
        sys.stderr.write(f"--badness: {error}\n")
        raise SystemExit(USAGE_STATUS) from error
    asyncio.run(main(badness))


if __name__ == "__main__":
    run()
