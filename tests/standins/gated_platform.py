"""An in-memory platform whose calls a test can block at named steps."""

import asyncio
from dataclasses import dataclass, field

from almondspindle.adapters.platform.base import StoredObject, StoreError
from almondspindle.core.outcomes import Result
from tests.standins.memory_platform import MemoryPlatform


class Gate:
    """Block a call at a step: `reached` is set on arrival, and the test sets `open`."""

    def __init__(self) -> None:
        self.reached = asyncio.Event()
        self.open = asyncio.Event()


@dataclass
class Gates:
    """Gates by the names of their steps. Each blocks one call only."""

    held: dict[str, Gate] = field(default_factory=dict)

    def hold(self, step: str) -> Gate:
        """Block the next call that reaches `step`; return its gate."""
        self.held[step] = Gate()
        return self.held[step]

    async def step(self, step: str) -> None:
        """Wait until the gate at `step` is open, if there is one."""
        gate = self.held.pop(step, None)
        if gate is not None:
            gate.reached.set()
            await gate.open.wait()


@dataclass
class GatedPlatform(MemoryPlatform):
    """The connection of one process to the store. Several may share `objects`.

    The steps are "read", "write" and "written". Reads and writes take `delay_s` seconds.
    """

    delay_s: float = 0.0
    gates: Gates = field(default_factory=Gates)

    async def read(self, name: str) -> Result[StoredObject, StoreError]:
        """Return the object after passing the step "read"."""
        await self.gates.step("read")
        await asyncio.sleep(self.delay_s)
        return await super().read(name)

    async def write(self, name: str, value: bytes, expected: int) -> Result[int, StoreError]:
        """Write between the steps "write" and "written"."""
        await self.gates.step("write")
        await asyncio.sleep(self.delay_s)
        written = await super().write(name, value, expected)
        await self.gates.step("written")
        return written
