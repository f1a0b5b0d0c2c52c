"""Case 14: a request that has run is answered 503."""

import asyncio
import itertools
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_3 import Answer, Deployment, run_case  # noqa: E402

LAYOUT = [(zone, service) for zone in range(3) for service in ("a", "b")]
REQUESTS = 200
GAP_S = 0.03
# The grey server fails this part of its requests.
FAILS_EVERY = 3
UNAVAILABLE = 503


async def check(deployment: Deployment, trouble: bool) -> bool:
    """Returns whether no request that has run is answered 503."""
    await deployment.publish(
        {"book": {"service": "a", "kind": "non_idempotent"}}
    )
    await deployment.wait_until_ready()
    if trouble:
        counts = itertools.count(1)
        grey = deployment.machines["m1"].server
        grey.failure_status = UNAVAILABLE
        grey.fails = lambda path: next(counts) % FAILS_EVERY == 0
        deployment.note(
            f"{grey.id} ends every third request that it runs with a failure"
        )
    machines = itertools.cycle(deployment.machines.values())
    tasks: list[asyncio.Task[Answer]] = []
    for number in range(REQUESTS):
        path = f"/book/{number}"
        sending = deployment.send(next(machines), path, "POST", b"bed")
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(GAP_S)
    answers = await asyncio.gather(*tasks)
    ran = {run.request_id for run in deployment.runs}
    broken = sum(
        answer.status == UNAVAILABLE and answer.request_id in ran
        for answer in answers
    )
    deployment.note(f"{broken} requests were answered 503 and have run")
    return broken == 0


if __name__ == "__main__":
    sys.exit(run_case(check, FOLDER, LAYOUT))
