"""Sums that no router took are not lost."""

import asyncio

from almondspindle.controllers.telemetry.collector import CollectorController
from almondspindle.controllers.telemetry.pusher import TallyPusher
from almondspindle.core.calls import WorkKind
from almondspindle.core.clock import ManualClock
from almondspindle.core.identifiers import ServiceName
from almondspindle.core.telemetry import RequestMeasurement
from almondspindle.decisions.rolling_windows import Tallies

SERVICE = ServiceName("forecast-llm")


class FlakyLink:
    """Take sums only when `up`."""

    def __init__(self) -> None:
        self.up = False
        self.taken: list[Tallies] = []

    async def push(self, tallies: Tallies) -> bool:
        if self.up:
            self.taken.append(tallies)
        return self.up


async def push_through_an_outage() -> int:
    collector = CollectorController(ManualClock())
    link = FlakyLink()
    pusher = TallyPusher(collector, link)
    task = asyncio.ensure_future(collector.run())
    for link.up in (False, False, True, True):
        collector.send(RequestMeasurement(SERVICE, WorkKind.CHAT, False, 5))
        await pusher.push_once()
    task.cancel()
    return sum(tallies[SERVICE].requests for tallies in link.taken)


def test_sums_survive_a_router_that_does_not_answer():
    assert asyncio.run(push_through_an_outage()) == 4
