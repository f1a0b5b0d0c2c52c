"""Runs one move under one condition and policy."""

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
    """Result of a trial.

    Attributes:
      deployment: Name of the deployment.
      condition: Name of the condition.
      policy: Name of the policy.
      seed: Seed of the trial.
      bad: Whether the new version should have been rolled back.
      state: State of the move at the end.
      reason: Reason of the rollback.
      done_s: Time from the start to share 1, None if it was not reached.
      in_time: Whether that was before the deadline.
      back_s: Time from the start to the rollback.
      reaction_s: Time from the start of the regression to the rollback.
      exposure: Requests that the failing version got during the regression,
        as a fraction of all requests in `deadline_s + watch_s`.
      harmed: Expected number of requests that the regression harmed.
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
    """Runs a move until it ends, or 2.5 watch times after its deadline.

    Args:
      deployment: The service and its move.
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
    exposed_requests, harmed, requests, elapsed_s = 0, 0.0, 0, 0.0
    while elapsed_s < horizon and not simulation.move.state.final:
        wall = START_WALL_S + elapsed_s
        since_full_share_s = (
            -1.0
            if simulation.full_share_at is None
            else wall - simulation.full_share_at
        )
        cells, totals = traffic.draw_bucket(
            int(wall / BUCKET_S),
            elapsed_s,
            simulation.move.share,
            since_full_share_s,
        )
        elapsed_s += BUCKET_S
        requests += totals.requests
        if totals.regression_active:
            regression_at = (
                elapsed_s if regression_at is None else regression_at
            )
            exposed_requests += totals.new_requests
            harmed += totals.harmed
        policy.handle_bucket(cells, START_WALL_S + elapsed_s)
    if (
        condition.regression
        and simulation.move.state is not MoveState.TAKEN_BACK
    ):
        remaining_s = (deployment.deadline_s + deployment.watch_s) - elapsed_s
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
        back_s=elapsed_s if taken_back else None,
        reaction_s=(
            elapsed_s - regression_at
            if taken_back and regression_at is not None
            else None
        ),
        exposure=exposed_requests / planned_requests
        if condition.regression
        else 0.0,
        harmed=harmed,
    )
