"""One move under one condition and policy."""

import random

import msgspec
from vanillamast_core.moves import MoveState

from vanillamast_testing.bench_moves.conditions import CONDITIONS
from vanillamast_testing.bench_moves.deployment import Deployment
from vanillamast_testing.bench_moves.policy import POLICIES
from vanillamast_testing.bench_moves.traffic import BUCKET_S, Traffic
from vanillamast_testing.bench_moves.world import START_WALL, World


class Result(msgspec.Struct, frozen=True):
    """What came of a trial.

    Attributes:
      deployment: Name of the deployment.
      condition: Name of the condition.
      policy: Name of the policy.
      seed: Seed of the trial.
      bad: Whether the new version should have been taken back.
      state: State of the move at the end.
      reason: Reason of the take-back.
      done_s: Time from the start to share 1, None if it was not reached.
      in_time: Whether that was before the deadline.
      back_s: Time from the start to the take-back.
      reaction_s: Time from the moment the version was bad to the take-back.
      exposure: Requests that the bad version got while it was bad, as a part
        of all requests from the start to the deadline and watch time.
      harmed: Requests that it harmed, by expectation.
    """

    deployment: str
    condition: str
    policy: str
    seed: int
    bad: bool
    state: str
    reason: str
    done_s: float | None
    in_time: bool
    back_s: float | None
    reaction_s: float | None
    exposure: float
    harmed: float


def run_trial(
    deployment: Deployment, condition_name: str, policy_name: str, seed: int
) -> Result:
    """Runs a move until its deadline and watch time are over.

    Args:
      deployment: The service that moves.
      condition_name: Key of `CONDITIONS`.
      policy_name: Key of `POLICIES`.
      seed: Seed; the traffic does not depend on the policy's draws.
    """
    condition = CONDITIONS[condition_name]
    world = World(deployment)
    traffic = Traffic(deployment, condition, random.Random(f"traffic {seed}"))
    policy = POLICIES[policy_name](
        world,
        random.Random(f"policy {seed}"),
        lambda wall: traffic.dead(wall - START_WALL),
    )
    horizon = deployment.deadline_s + 2.5 * deployment.watch_s
    fault_at: float | None = None
    exposed, harmed, requests, elapsed = 0, 0.0, 0, 0.0
    while elapsed < horizon and not world.move.state.final:
        wall = START_WALL + elapsed
        since_done = -1.0 if world.done_at is None else wall - world.done_at
        cells, tally = traffic.bucket(
            int(wall / BUCKET_S), elapsed, world.move.share, since_done
        )
        elapsed += BUCKET_S
        requests += tally.requests
        if tally.fault_active:
            fault_at = elapsed if fault_at is None else fault_at
            exposed += tally.new_requests
            harmed += tally.harmed
        policy.step(cells, START_WALL + elapsed)
    if condition.bad and world.move.state is not MoveState.TAKEN_BACK:
        left = (deployment.deadline_s + deployment.watch_s) - elapsed
        if fault_at is not None:
            exposed += int(max(left, 0.0) * deployment.rate * world.move.share)
    planned = deployment.rate * (deployment.deadline_s + deployment.watch_s)
    taken_back = world.move.state is MoveState.TAKEN_BACK
    done = None if world.done_at is None else world.done_at - START_WALL
    return Result(
        deployment=deployment.name,
        condition=condition_name,
        policy=policy_name,
        seed=seed,
        bad=condition.bad,
        state=str(world.move.state),
        reason=world.move.reason,
        done_s=done,
        in_time=done is not None and done <= deployment.deadline_s,
        back_s=elapsed if taken_back else None,
        reaction_s=(
            elapsed - fault_at if taken_back and fault_at is not None else None
        ),
        exposure=exposed / planned if condition.bad else 0.0,
        harmed=harmed,
    )
