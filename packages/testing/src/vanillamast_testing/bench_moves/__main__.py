"""Runs trials, prints a table and writes JSON lines to a file."""

import concurrent.futures
import itertools
import pathlib
import sys

import msgspec
from absl import app, flags

from vanillamast_testing.bench_moves import (
    CONDITIONS,
    DEPLOYMENTS,
    POLICIES,
    run_trial,
)
from vanillamast_testing.bench_moves.report import summarize

TRIALS = flags.DEFINE_integer("trials", 10, "Trials of each combination.")
SEED = flags.DEFINE_integer("seed", 1, "Seed of the first trial.")
JOBS = flags.DEFINE_integer("jobs", 3, "Processes.", 1, 6)
DEPLOYMENT = flags.DEFINE_multi_enum(
    "deployment", list(DEPLOYMENTS), list(DEPLOYMENTS), "Deployments."
)
CONDITION = flags.DEFINE_multi_enum(
    "condition", list(CONDITIONS), list(CONDITIONS), "Conditions."
)
POLICY = flags.DEFINE_multi_enum(
    "policy", list(POLICIES), list(POLICIES), "Policies."
)
OUT = flags.DEFINE_string("out", "out/bench_moves.jsonl", "File for results.")


def main(arguments: list[str]) -> None:
    """Runs the chosen trials."""
    del arguments
    seeds = range(SEED.value, SEED.value + TRIALS.value)
    work = list(
        itertools.product(
            [DEPLOYMENTS[name] for name in DEPLOYMENT.value],
            CONDITION.value,
            POLICY.value,
            seeds,
        )
    )
    with concurrent.futures.ProcessPoolExecutor(JOBS.value) as pool:
        results = list(
            pool.map(run_trial, *zip(*work, strict=True), chunksize=2)
        )
    path = pathlib.Path(OUT.value)
    path.parent.mkdir(parents=True, exist_ok=True)
    encoder = msgspec.json.Encoder()
    path.write_bytes(b"".join(encoder.encode(r) + b"\n" for r in results))
    sys.stdout.write("\n".join(summarize(results)) + "\n")


if __name__ == "__main__":
    app.run(main)
