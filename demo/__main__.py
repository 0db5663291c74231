"""Run the demonstration: `python -m demo`; exit status 0 if every step succeeded, else 1."""

import argparse
import asyncio
import sys

from demo.scenario import DemoFailed, keep_running, run_scenario


def main() -> int:
    """Run the demonstration and return the exit status."""
    parser = argparse.ArgumentParser(prog="demo")
    parser.add_argument("--up", action="store_true", help="keep the fleet up until interrupted")
    args = parser.parse_args()
    try:
        asyncio.run(keep_running() if args.up else run_scenario())
    except (DemoFailed, TimeoutError, OSError, RuntimeError) as exc:
        print(f"demo: failed: {exc}")
        return 1
    except KeyboardInterrupt:
        return 0
    print("demo: passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
