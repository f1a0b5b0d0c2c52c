"""Benchmark of the policies for moves on a model of traffic.

The model draws request counts per bucket, failure domain and route, and
feeds them to the judges and the driver of `vanillamast_core.moves`. It has no
nodes, links or log; evidence arrives after fixed delays. The figures hold for
this model, not for running nodes.
"""

from vanillamast_testing.bench_moves.conditions import CONDITIONS, Condition
from vanillamast_testing.bench_moves.deployment import DEPLOYMENTS, Deployment
from vanillamast_testing.bench_moves.policy import POLICIES, Policy
from vanillamast_testing.bench_moves.trial import Result, run_trial

__all__ = [
    "CONDITIONS",
    "DEPLOYMENTS",
    "POLICIES",
    "Condition",
    "Deployment",
    "Policy",
    "Result",
    "run_trial",
]
