"""Runs all benchmarks one after the other.

Run as `python -m vanillamast_testing.bench`, or `make bench`. Each benchmark
prints a table and writes JSON lines to a file below `out/`, except for
`bench_dissemination`, which prints them. Other load on the machine distorts
the figures.
"""

import subprocess
import sys

BENCHES = (
    ("bench_dissemination", "--nodes=75,300,1200"),
    ("bench_moves", "--trials=12"),
    ("bench_requests",),
    ("bench_capacity",),
)


def run() -> int:
    """Runs all benchmarks; returns the largest exit status."""
    statuses = []
    for name, *arguments in BENCHES:
        print(f"== {name} {' '.join(arguments)}", flush=True)
        command = [sys.executable, "-m", f"vanillamast_testing.{name}"]
        statuses.append(subprocess.run([*command, *arguments]).returncode)
    return max(statuses)


if __name__ == "__main__":
    sys.exit(run())
