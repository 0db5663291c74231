"""Run the soak: `python -m soak --seed 1 --minutes 0.2`; exit status 1 on a violated guarantee."""

import argparse
import asyncio
import sys
import tempfile
import time
from pathlib import Path

from soak.layout import LAYOUTS
from soak.run import SoakRun

RUN_S = {"one": 12.0, "four": 24.0}  # how long faults are injected, per seed


def main() -> int:
    """Run consecutive seeds until the given minutes have passed, and at least one seed."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument(
        "--minutes", type=float, default=0.0, help="run further seeds for this long"
    )
    parser.add_argument(
        "--logs", type=Path, default=None, help="directory for the logs of the hosts"
    )
    parser.add_argument("--zones", choices=LAYOUTS, default="four", help="the zones of the hosts")
    args = parser.parse_args()
    logs = args.logs or Path(tempfile.mkdtemp(prefix="soak-"))
    deadline, seed, failed = time.monotonic() + 60 * args.minutes, args.seed, 0
    while True:
        folder = logs / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(
            SoakRun(seed, RUN_S[args.zones], folder, LAYOUTS[args.zones]).execute()
        )
        print(
            f"seed {seed}: {result.faults} faults, {result.served} of {result.requests} served, "
            f"{len(result.violations)} broken, checked {dict(sorted(result.checked.items()))}",
            flush=True,
        )
        for line in result.violations:
            print(f"  {line}", flush=True)
        failed += bool(result.violations)
        seed += 1
        if time.monotonic() >= deadline:
            break
    print(f"logs: {logs}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
