"""Case 11: a partly silent store hides later configurations."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_3 import OPERATOR_TOPIC, Deployment, run_case  # noqa: E402

LAYOUT = [(zone, service) for zone in range(3) for service in ("a", "b")]
APPLY_S = 2.0
STABLE_WINDOW_S = 3.0
SILENCE_S = 4.5
# The store is stable for this long before the change that is judged.
CALM_S = STABLE_WINDOW_S + 1.0
JUDGED_S = 6.0
LONGEST_S = 40.0


async def check(deployment: Deployment, trouble: bool) -> bool:
    """Returns whether a change is in force `apply_s` after its answer."""
    routes = {"page": {"service": "a"}, "other": {"service": "b"}}
    await deployment.publish(routes)
    await deployment.wait_until_ready()
    load = asyncio.create_task(deployment.send_steadily("/page/1", 0.02))
    await asyncio.sleep(2.0)
    routes["other"]["timeout_s"] = 1.4
    await deployment.publish(routes)
    await asyncio.sleep(0.3)
    if trouble:
        deployment.note(f"{OPERATOR_TOPIC} gives no answers from here on")
        deployment.store.silent_topics.add(OPERATOR_TOPIC)
    await asyncio.sleep(SILENCE_S)
    deployment.store.silent_topics.clear()
    deployment.note("the store is whole")
    await asyncio.sleep(CALM_S)
    routes["page"]["service"] = "b"
    acknowledged_at = await deployment.publish(routes)
    due_at = acknowledged_at + APPLY_S
    await asyncio.sleep(APPLY_S + JUDGED_S)
    stale = count_stale(deployment, due_at)
    deployment.note(
        f"{stale} requests that were sent later than {APPLY_S} s after the"
        " answer were run by the old service"
    )
    if stale:
        await find_end(deployment, acknowledged_at)
    load.cancel()
    return stale == 0


def count_stale(deployment: Deployment, due_at: float) -> int:
    """Returns how many late requests the old service ran."""
    ran = {run.request_id: run.service for run in deployment.runs}
    return sum(
        ran.get(answer.request_id) == "a"
        for answer in deployment.answers
        if answer.sent_at > due_at
    )


async def find_end(deployment: Deployment, acknowledged_at: float) -> None:
    """Notes how long the old service goes on to run requests."""
    while time.monotonic() < acknowledged_at + LONGEST_S:
        await asyncio.sleep(1.0)
        if not count_stale(deployment, time.monotonic() - 0.9):
            break
    last = max(run.at for run in deployment.runs if run.service == "a")
    deployment.note(
        f"the old service got its last request {last - acknowledged_at:.1f} s"
        " after the answer"
    )


if __name__ == "__main__":
    sys.exit(run_case(check, FOLDER, LAYOUT))
