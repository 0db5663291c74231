"""A platform in memory, with faults and stops at named steps, for tests within one process."""

import asyncio
from dataclasses import dataclass, field

from almondspindle.adapters.platform.base import ABSENT, StoredObject, StoreError, StoreErrorCode
from almondspindle.core.outcomes import Error, Ok, Result


class Gate:
    """Hold the calls that reach a step until the test lets them go."""

    def __init__(self) -> None:
        self.reached = asyncio.Event()
        self.open = asyncio.Event()

    async def pass_through(self) -> None:
        """Tell that the step was reached, and wait."""
        self.reached.set()
        await self.open.wait()


@dataclass
class MemoryStore:
    """Objects with versions, shared by several `FakePlatform`s, and counts of calls."""

    objects: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    writes: int = 0
    reads: int = 0
    conflicts: int = 0


@dataclass
class FakePlatform:
    """One process's way to the store. `gates` hold the next call at "read", "write", "written"."""

    store: MemoryStore = field(default_factory=MemoryStore)
    down: bool = False
    lose_answers: int = 0
    drop_writes: int = 0
    delay_s: float = 0.0
    gates: dict[str, Gate] = field(default_factory=dict)

    def hold(self, step: str) -> Gate:
        """Hold the next call that reaches `step`; return its gate."""
        self.gates[step] = Gate()
        return self.gates[step]

    async def _step(self, step: str) -> None:
        gate = self.gates.pop(step, None)
        if gate is not None:
            await gate.pass_through()

    async def read(self, name: str) -> Result[StoredObject, StoreError]:
        """Return the object called `name`; an absent one has version 0."""
        await self._step("read")
        await asyncio.sleep(self.delay_s)
        self.store.reads += 1
        if self.down:
            return _unavailable("down")
        return Ok(StoredObject(*self.store.objects.get(name, (b"", ABSENT))))

    async def write(self, name: str, value: bytes, expected: int) -> Result[int, StoreError]:
        """Write `value` if the object still has version `expected`; return the new version."""
        await self._step("write")
        await asyncio.sleep(self.delay_s)
        self.store.writes += 1
        if self.down or self.drop_writes:
            self.drop_writes = max(0, self.drop_writes - 1)
            return _unavailable("the write was dropped")
        version = self.store.objects.get(name, (b"", ABSENT))[1]
        if version != expected:
            self.store.conflicts += 1
            return Error(StoreError(StoreErrorCode.CONFLICT, f"{name} has version {version}"))
        self.store.objects[name] = (value, version + 1)
        await self._step("written")
        if self.lose_answers:
            self.lose_answers -= 1
            return _unavailable("the answer was lost")
        return Ok(version + 1)

    async def delete(self, name: str, expected: int) -> Result[None, StoreError]:
        """Delete the object if it still has version `expected`."""
        del self.store.objects[name]
        return Ok(None)

    async def list_names(self, prefix: str) -> Result[dict[str, int], StoreError]:
        """Return names and versions of the objects whose names start with `prefix`."""
        found = {n: v for n, (_, v) in self.store.objects.items() if n.startswith(prefix)}
        return Ok(found)


def _unavailable(text: str) -> Result:
    return Error(StoreError(StoreErrorCode.UNAVAILABLE, text))
