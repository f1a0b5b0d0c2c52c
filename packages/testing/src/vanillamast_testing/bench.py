"""All measurements, one after the other.

Run as `python -m vanillamast_testing.bench`, or `make bench`. Each bench writes
JSON lines below `out/` and prints a table. Take the figures of a machine that
does nothing else.
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
    """Runs all benches; returns 0 if each ended well."""
    statuses = []
    for name, *arguments in BENCHES:
        print(f"== {name} {' '.join(arguments)}", flush=True)
        command = [sys.executable, "-m", f"vanillamast_testing.{name}"]
        statuses.append(subprocess.run([*command, *arguments]).returncode)
    return max(statuses)


if __name__ == "__main__":
    sys.exit(run())
