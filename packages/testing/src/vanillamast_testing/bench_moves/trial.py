"""One move under one condition and policy."""

import random

import msgspec
from vanillamast_core.moves import MoveState

from vanillamast_testing.bench_moves.conditions import CONDITIONS
from vanillamast_testing.bench_moves.deployment import Deployment
from vanillamast_testing.bench_moves.move_simulation import (
    START_WALL_S,
    MoveSimulation,
)
from vanillamast_testing.bench_moves.policy import POLICIES
from vanillamast_testing.bench_moves.traffic import BUCKET_S, TrafficModel


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
    simulation = MoveSimulation(deployment)
    traffic = TrafficModel(
        deployment, condition, random.Random(f"traffic {seed}")
    )
    policy = POLICIES[policy_name](
        simulation,
        random.Random(f"policy {seed}"),
        lambda wall: traffic.find_dead_instances(wall - START_WALL_S),
    )
    horizon = deployment.deadline_s + 2.5 * deployment.watch_s
    regression_at: float | None = None
    exposed_requests, harmed, requests, elapsed = 0, 0.0, 0, 0.0
    while elapsed < horizon and not simulation.move.state.final:
        wall = START_WALL_S + elapsed
        since_full_share_s = (
            -1.0
            if simulation.full_share_at is None
            else wall - simulation.full_share_at
        )
        cells, totals = traffic.draw_bucket(
            int(wall / BUCKET_S),
            elapsed,
            simulation.move.share,
            since_full_share_s,
        )
        elapsed += BUCKET_S
        requests += totals.requests
        if totals.regression_active:
            regression_at = elapsed if regression_at is None else regression_at
            exposed_requests += totals.new_requests
            harmed += totals.harmed
        policy.handle_bucket(cells, START_WALL_S + elapsed)
    if (
        condition.regression
        and simulation.move.state is not MoveState.TAKEN_BACK
    ):
        remaining_s = (deployment.deadline_s + deployment.watch_s) - elapsed
        if regression_at is not None:
            exposed_requests += int(
                max(remaining_s, 0.0) * deployment.rate * simulation.move.share
            )
    planned_requests = deployment.rate * (
        deployment.deadline_s + deployment.watch_s
    )
    taken_back = simulation.move.state is MoveState.TAKEN_BACK
    done = (
        None
        if simulation.full_share_at is None
        else simulation.full_share_at - START_WALL_S
    )
    return Result(
        deployment=deployment.name,
        condition=condition_name,
        policy=policy_name,
        seed=seed,
        bad=condition.regression,
        state=str(simulation.move.state),
        reason=simulation.move.reason,
        done_s=done,
        in_time=done is not None and done <= deployment.deadline_s,
        back_s=elapsed if taken_back else None,
        reaction_s=(
            elapsed - regression_at
            if taken_back and regression_at is not None
            else None
        ),
        exposure=exposed_requests / planned_requests
        if condition.regression
        else 0.0,
        harmed=harmed,
    )
