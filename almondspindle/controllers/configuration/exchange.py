"""The tasks that exchange configurations with peers."""

import asyncio
from functools import singledispatchmethod
from typing import Protocol

from almondspindle.controllers.configuration.messages import (
    ConfigRead,
    GetConfig,
    PeerVersion,
    PullDue,
    PullEnded,
    TakeDelta,
    Taken,
)
from almondspindle.controllers.configuration.spreader import PullJob, PushJob, SpreadController
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.core.changes import ConfigDelta
from almondspindle.core.config import ConfigSet
from almondspindle.core.events import CONFIG_PULL_FAILED, CONFIG_PULLED
from almondspindle.core.identifiers import HostName
from almondspindle.core.logs import emit
from almondspindle.core.outcomes import InvariantError
from almondspindle.core.spread import (
    ConfigPush,
    ConfigResponse,
    ConfigUpToDate,
    ConfigVersionNotice,
    GetConfigRequest,
)

WORKERS = 4  # calls to peers in flight


class ConfigLink(Protocol):
    """The way to the configuration of peers. None stands for no answer in time."""

    async def get_config(self, address: str, req: GetConfigRequest) -> ConfigResponse | None:
        """Return what the peer has above the requester's version."""
        ...

    async def push_config(self, address: str, push: ConfigPush) -> ConfigVersionNotice | None:
        """Pass a version on; return the version that the peer then has in force."""
        ...


class ConfigExchange:
    """Run the jobs of the spread controller, a few at a time."""

    def __init__(
        self, spread: SpreadController, configuration: ConfigurationController, link: ConfigLink
    ) -> None:
        self._spread = spread
        self._configuration = configuration
        self._link = link

    async def run(self) -> None:
        """Run jobs until cancelled."""
        await asyncio.gather(*(self._work() for _ in range(WORKERS)))

    async def run_pulls(self) -> None:
        """Have a random peer asked at the pace that the controller gives, until cancelled."""
        while True:
            pause_s = await self._spread.request(PullDue())
            await asyncio.sleep(pause_s)

    async def _work(self) -> None:
        while True:
            await self.do(await self._spread.jobs.get())

    @singledispatchmethod
    async def do(self, job: object) -> None:
        """Run `job` and tell the controllers what came of it."""
        raise InvariantError(f"unexpected job {type(job).__name__}")

    @do.register
    async def _(self, job: PushJob) -> None:
        note = await self._link.push_config(job.address, job.push)
        if note is not None and note.version > job.push.version:
            self._spread.send(PeerVersion(note.host, note.version))

    @do.register
    async def _(self, job: PullJob) -> None:
        answer = await self._link.get_config(job.address, job.req)
        if answer is None:
            emit(CONFIG_PULL_FAILED, address=job.address)
        else:
            await self.take(answer)
            await self._configuration.request(GetConfig())  # the version is in force by now
        self._spread.send(PullEnded(answer is not None))

    @singledispatchmethod
    async def take(self, answer: object) -> None:
        """Pass what a peer answered to the configuration controller."""
        raise InvariantError(f"unexpected answer {type(answer).__name__}")

    @take.register
    async def _(self, answer: ConfigUpToDate) -> None:
        return None

    @take.register
    async def _(self, answer: ConfigSet) -> None:
        emit(CONFIG_PULLED, version=answer.version, whole=True)
        self._configuration.send(ConfigRead(answer))

    @take.register
    async def _(self, answer: ConfigDelta) -> None:
        # A version that came meanwhile leaves a gap here; the next pull closes it.
        taken = await self._configuration.request(TakeDelta(answer))
        emit(CONFIG_PULLED, version=answer.version, whole=False, taken=taken)


class ConfigReceiver:
    """Answer what peers ask and send about the configuration."""

    def __init__(
        self, host: HostName, spread: SpreadController, configuration: ConfigurationController
    ) -> None:
        self._host = host
        self._spread = spread
        self._configuration = configuration

    async def take_push(self, push: ConfigPush) -> ConfigVersionNotice:
        """Apply a version that was passed on, or have it pulled; return the version in force."""
        taken = Taken.GAP
        if push.delta is not None:
            taken = await self._configuration.request(TakeDelta(push.delta))
        if taken is Taken.GAP:
            self._spread.send(PeerVersion(push.sender, push.version))
        in_force = await self._configuration.request(GetConfig())
        return ConfigVersionNotice(self._host, in_force.version)
