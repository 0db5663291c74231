"""Run all measurements, or only the modules named on the command line."""

import importlib
import pkgutil
import sys
from pathlib import Path


def main() -> None:
    """Run the named modules, or all in the order of their names."""
    names = sorted(info.name for info in pkgutil.iter_modules([str(Path(__file__).parent)]))
    selected = sys.argv[1:] or [name for name in names if name.startswith("bench_")]
    for name in selected:
        module = importlib.import_module(f"bench.{name}")
        module.run()


if __name__ == "__main__":
    main()
