"""An in-memory implementation of the platform's object API that injects faults."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from almondspindle.adapters.platform.base import StoredObject, StoreError, StoreErrorCode
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.core.roster import Roster


@dataclass
class MemoryFaults:
    """Faults that a test injects. A number is the count of further calls that it affects.

    A call with a lost response takes effect, a dropped write does not. Writes of the objects in
    `failing_objects` always fail. The functions in `before_write` are called one per write.
    """

    down: bool = False
    lose_responses: int = 0
    drop_writes: int = 0
    stale_reads: int = 0
    failing_objects: set[str] = field(default_factory=set)
    before_write: list[Callable[[], None]] = field(default_factory=list)


@dataclass
class MemoryPlatform:
    """A store of versioned objects. `previous` has the value that each one replaced."""

    objects: dict[str, StoredObject] = field(default_factory=dict)
    previous: dict[str, StoredObject] = field(default_factory=dict)
    faults: MemoryFaults = field(default_factory=MemoryFaults)
    hosts: Roster = field(default_factory=Roster)
    calls: Counter[str] = field(default_factory=Counter)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, name: str, value: bytes, version: int | None = None) -> int:
        """Store `value` unconditionally, with `version` or by default the next version."""
        old = self.objects.get(name, StoredObject(b"", 0))
        self.previous[name] = old
        self.objects[name] = StoredObject(value, version or old.version + 1)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.objects[name].version

    async def read(self, name: str) -> Result[StoredObject, StoreError]:
        """Return the object, or its previous value if the read is stale."""
        self.calls["read"] += 1
        if self.faults.down:
            return _down()
        if self.faults.stale_reads and name in self.previous:
            self.faults.stale_reads -= 1
            return Ok(self.previous[name])
        return Ok(self.objects.get(name, StoredObject(b"", 0)))

    async def write(self, name: str, value: bytes, expected: int) -> Result[int, StoreError]:
        """Write if the stored version is `expected`, subject to the injected faults."""
        self.calls["write"] += 1
        await asyncio.sleep(0)
        if self.faults.before_write:
            self.faults.before_write.pop(0)()
        if self.faults.down or name in self.faults.failing_objects:
            return _down()
        if self.faults.drop_writes:
            self.faults.drop_writes -= 1
            return _down()
        if self.objects.get(name, StoredObject(b"", 0)).version != expected:
            return Error(StoreError(StoreErrorCode.CONFLICT, "another version"))
        version = self.put(name, value)
        if self.faults.lose_responses:
            self.faults.lose_responses -= 1
            return _down()
        return Ok(version)

    async def delete(self, name: str, expected: int) -> Result[None, StoreError]:
        """Delete the object, whatever its version."""
        self.calls["delete"] += 1
        self.objects.pop(name, None)
        return Ok(None)

    async def watch(
        self, name: str, after: int, wait_s: float
    ) -> Result[StoredObject | None, StoreError]:
        """Return the object once it is newer than `after`, or None after `wait_s`."""
        self.calls["watch"] += 1
        try:
            async with asyncio.timeout(wait_s):
                while not self.faults.down and self._version(name) <= after:
                    await self.changed.wait()
        except TimeoutError:
            return Ok(None)
        return _down() if self.faults.down else Ok(self.objects[name])

    async def list_names(self, prefix: str) -> Result[dict[str, int], StoreError]:
        """Return names and versions of the objects whose names start with `prefix`."""
        self.calls["list"] += 1
        if self.faults.down:
            return _down()
        return Ok({n: o.version for n, o in self.objects.items() if n.startswith(prefix)})

    async def roster(self) -> Result[Roster, StoreError]:
        """Return the hosts and targets."""
        self.calls["roster"] += 1
        return _down() if self.faults.down else Ok(self.hosts)

    def _version(self, name: str) -> int:
        return self.objects[name].version if name in self.objects else 0


def _down() -> Result:
    return Error(StoreError(StoreErrorCode.UNAVAILABLE, "the store is down"))
