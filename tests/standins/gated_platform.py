"""A platform in memory whose calls a test stops at named steps."""

import asyncio
from dataclasses import dataclass, field

from almondspindle.adapters.platform.base import StoredObject, StoreError
from almondspindle.core.outcomes import Result
from tests.standins.memory_platform import MemoryPlatform


class Gate:
    """Hold the call that reaches a step until the test lets it go."""

    def __init__(self) -> None:
        self.reached = asyncio.Event()
        self.open = asyncio.Event()


@dataclass
class Gates:
    """Gates by the name of their step; each holds the next call only."""

    held: dict[str, Gate] = field(default_factory=dict)

    def hold(self, step: str) -> Gate:
        """Hold the next call that reaches `step`; return its gate."""
        self.held[step] = Gate()
        return self.held[step]

    async def step(self, step: str) -> None:
        """Wait at `step` while it is held."""
        gate = self.held.pop(step, None)
        if gate is not None:
            gate.reached.set()
            await gate.open.wait()


@dataclass
class GatedPlatform(MemoryPlatform):
    """One process's way to the store; several may share `objects`.

    The steps are "read", "write" and "written". A call takes `delay_s` seconds.
    """

    delay_s: float = 0.0
    gates: Gates = field(default_factory=Gates)

    async def read(self, name: str) -> Result[StoredObject, StoreError]:
        """Return the object called `name`, after its step."""
        await self.gates.step("read")
        await asyncio.sleep(self.delay_s)
        return await super().read(name)

    async def write(self, name: str, value: bytes, expected: int) -> Result[int, StoreError]:
        """Write on condition, between two steps."""
        await self.gates.step("write")
        await asyncio.sleep(self.delay_s)
        written = await super().write(name, value, expected)
        await self.gates.step("written")
        return written
