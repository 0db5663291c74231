"""The record of a run: what was sent, answered and run."""

import os
import time
from pathlib import Path

EXIT_HELD, EXIT_BROKEN, EXIT_UNABLE = 0, 1, 2


class Record:
    """Lines with the seconds since the start of the run, written to `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w")
        self.started_at = time.monotonic()

    def at(self, moment: float) -> str:
        """Return `moment` as seconds since the start of the run."""
        return f"{moment - self.started_at:8.3f}"

    def line(self, text: str, moment: float | None = None) -> None:
        """Write a line."""
        self._file.write(f"{self.at(time.monotonic() if moment is None else moment)} {text}\n")
        self._file.flush()

    def end(self, broken: list[str]) -> int:
        """Write the result and return the exit status."""
        for text in broken[:20]:
            self.line(f"BROKEN {text}")
        result = f"result: {len(broken)} breaks" if broken else "result: the rule held"
        self.line(result)
        self._file.close()
        print(result)
        return EXIT_BROKEN if broken else EXIT_HELD


def has_trouble() -> bool:
    """Return whether the run has its disruption; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"
