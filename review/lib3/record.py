"""The record of a case: what was sent, answered and run, on one clock."""

import json
import time
from pathlib import Path


class Record:
    """Collect entries in order of time and write them to a file, one JSON object a line."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._began_at = time.monotonic()
        self.entries: list[dict] = []

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began_at

    def add(self, what: str, **fields: object) -> dict:
        """Add an entry and return it."""
        entry = {"t": round(self.now(), 4), "what": what, **fields}
        self.entries.append(entry)
        return entry

    def select(self, what: str, **fields: object) -> list[dict]:
        """Return the entries of one kind whose fields have the given values."""
        return [
            entry
            for entry in self.entries
            if entry["what"] == what and all(entry.get(k) == v for k, v in fields.items())
        ]

    def write(self) -> None:
        """Write all entries to the file."""
        lines = (json.dumps(entry) for entry in self.entries)
        self._path.write_text("\n".join(lines) + "\n")
