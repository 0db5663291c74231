"""Earlier versions of large records, as bases of the patches that peers get."""

from collections import OrderedDict

from almondspindle.core.inventory import Record, Revision

MIN_RECORD_BYTES = 2048  # smaller records are sent whole
MAX_VERSIONS = 16
MAX_HISTORY_BYTES = 2 * 1024 * 1024


class RecordHistory:
    """The bytes of the latest versions of large records, bounded in number and in size."""

    def __init__(self) -> None:
        self._versions: OrderedDict[tuple[str, Revision], bytes] = OrderedDict()
        self._size = 0

    def add(self, record: Record) -> None:
        """Store the bytes of a record's version, and drop the oldest versions beyond the bounds."""
        key = (record.name, record.revision)
        if len(record.raw) < MIN_RECORD_BYTES:
            return
        # Of two versions read at the same revision, the later one is in use.
        self._size -= len(self._versions.get(key, b""))
        self._versions[key] = record.raw
        self._size += len(record.raw)
        while len(self._versions) > MAX_VERSIONS or self._size > MAX_HISTORY_BYTES:
            _, oldest = self._versions.popitem(last=False)
            self._size -= len(oldest)

    def find(self, name: str, revision: Revision) -> bytes | None:
        """Return the bytes of record `name` as written at `revision`, if they are stored."""
        return self._versions.get((name, revision))
