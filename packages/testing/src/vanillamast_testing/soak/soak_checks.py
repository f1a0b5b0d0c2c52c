"""What must hold in a soak, registered by name."""

import bisect
import collections
from collections.abc import Callable, Iterator

from vanillamast_core.registry import Registry

from vanillamast_testing.emulator import Backend
from vanillamast_testing.emulator.caller import NO_ANSWER_STATUS
from vanillamast_testing.soak.limit_period import LimitPeriod
from vanillamast_testing.soak.sent_request import SentRequest
from vanillamast_testing.soak.soak_actions import DRAIN_S, NOT_RUN_STATUSES
from vanillamast_testing.soak.soak_record import SoakRecord

# The users' rule on rate limits: requests in any span of this length, and how
# many more than the limit allows.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# A limit binds, and a disturbance has passed, after this time.
STABLE_WINDOW_S = 3.0
OK = 200
# Statuses that say that a request has not run.
# After these a node may know nothing of what servers said before.
RESTARTS = frozenset({"planned_stop", "kill", "pause"})
# These may end a request whose node is stopped at the same time.
UNPLANNED = frozenset({"kill", "pause", "truncate", "leave"})

Check = Callable[[SoakRecord], Iterator[str]]
checks: Registry[Check] = Registry("soak check")


def find_violations(record: SoakRecord) -> list[str]:
    """Returns what did not hold, with the name of the check."""
    return [
        f"{name}: {text}"
        for name, check in checks.entries.items()
        for text in check(record)
    ]


def _count_runs(record: SoakRecord) -> collections.Counter[str]:
    return collections.Counter(
        run.request_id for backend in record.backends for run in backend.runs
    )


@checks.register("at_most_once")
def check_at_most_once(record: SoakRecord) -> Iterator[str]:
    """A request that may not be repeated runs once."""
    counts = _count_runs(record)
    for request in record.requests:
        runs = counts[request.answer.request_id]
        if request.method == "POST" and runs > 1:
            yield f"{request.answer.request_id} ran {runs} times"


@checks.register("truthful_refusal")
def check_truthful_refusal(record: SoakRecord) -> Iterator[str]:
    """A request that was refused as not run has not run."""
    counts = _count_runs(record)
    for request in record.requests:
        answer = request.answer
        if request.method != "POST" or answer.status not in NOT_RUN_STATUSES:
            continue
        if counts[answer.request_id]:
            yield f"{answer.request_id} ran and got {answer.status}"


@checks.register("own_whole_answer")
def check_own_whole_answer(record: SoakRecord) -> Iterator[str]:
    """A success is the whole answer of a server to this request."""
    for request in record.requests:
        answer = request.answer
        if answer.status != OK:
            continue
        instance, _, rest = answer.body.partition(" ")
        whole = rest.startswith(f"{request.method} {request.path} ")
        signed = answer.signature.startswith(f"{instance}.")
        if not (whole and signed and answer.echoed_id == answer.request_id):
            yield f"{request.path} got {answer.body!r}"


@checks.register("rate_limit")
def check_rate_limits(record: SoakRecord) -> Iterator[str]:
    """A server gets about as many requests as it names."""
    for period in record.limits:
        allowed = (
            LIMIT_FACTOR * period.limit_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        )
        most = _count_most_arrivals(period)
        if most > allowed:
            yield f"{period.instance} got {most} of {allowed:.0f} requests"


def _count_most_arrivals(period: LimitPeriod) -> int:
    times = sorted(
        at
        for at in period.arrivals
        if period.started_at + STABLE_WINDOW_S <= at <= period.ended_at
    )
    return max(
        (
            bisect.bisect_left(times, first + LIMIT_WINDOW_S) - position
            for position, first in enumerate(times)
        ),
        default=0,
    )


@checks.register("leaving_server")
def check_leaving_servers(record: SoakRecord) -> Iterator[str]:
    """A machine uses no server whose answer said that it leaves."""
    requests = {
        request.answer.request_id: request for request in record.requests
    }
    for backend in record.backends:
        told_at = _find_told_machines(record, backend)
        for run in backend.runs:
            request = requests.get(run.request_id)
            if request is None or request.machine not in told_at:
                continue
            since = told_at[request.machine]
            if request.started_at <= since + DRAIN_S:
                continue
            if not _was_restarted(record, request.machine, since):
                yield f"{backend.id} ran {run.request_id}"


def _find_told_machines(
    record: SoakRecord, backend: Backend
) -> dict[str, float]:
    """Returns when each machine passed on that a server leaves."""
    told_at: dict[str, float] = {}
    for request in record.requests:
        answer = request.answer
        if answer.leaving and answer.signature.startswith(f"{backend.id}."):
            told_at.setdefault(request.machine, request.ended_at)
    return told_at


def _was_restarted(record: SoakRecord, machine: str, since: float) -> bool:
    return any(
        disturbance.target == machine
        and disturbance.kind in RESTARTS
        and disturbance.ended_at >= since
        for disturbance in record.disturbances
    )


@checks.register("planned_stop")
def check_planned_stops(record: SoakRecord) -> Iterator[str]:
    """A planned stop cuts no request that was passed on to a server."""
    counts = _count_runs(record)
    for request in record.requests:
        answer = request.answer
        if answer.status != NO_ANSWER_STATUS or not counts[answer.request_id]:
            continue
        if not _is_excused(record, request):
            yield f"{answer.request_id} on {request.machine} got no answer"


def _is_excused(record: SoakRecord, request: SentRequest) -> bool:
    """Returns whether anything but a planned stop may have cut a request.

    That has to be on its way: on the machine where it began, or where it ran.
    """
    request_id = request.answer.request_id
    machines = {request.machine} | {
        record.machines[backend.host]
        for backend in record.backends
        if any(run.request_id == request_id for run in backend.runs)
    }
    return any(
        disturbance.kind in UNPLANNED
        and disturbance.target in machines
        and disturbance.overlaps(
            request.started_at - STABLE_WINDOW_S, request.ended_at
        )
        for disturbance in record.disturbances
    )


@checks.register("recovery")
def check_recovery(record: SoakRecord) -> Iterator[str]:
    """Everything is served again after the last disturbance."""
    yield from record.unserved
