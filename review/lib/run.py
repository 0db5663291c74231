"""Run a case and bound its time. A case that can't run exits with 2, not with 1."""

import runpy
import sys
import traceback
from pathlib import Path

EXIT_UNABLE = 2


def main() -> None:
    """Run the case whose path is the first argument."""
    root = Path(__file__).resolve().parents[2]
    if not (root / "target" / "deps").is_dir():
        print("run the build command of deploy/system.toml first")
        sys.exit(EXIT_UNABLE)
    # Channels that are still open at the end can't be closed without their event loop.
    sys.unraisablehook = lambda _: None
    try:
        runpy.run_path(str(Path(sys.argv[1]).resolve()), run_name="__main__")
    except SystemExit:
        raise
    except BaseException:
        traceback.print_exc()
        sys.exit(EXIT_UNABLE)


if __name__ == "__main__":
    main()
