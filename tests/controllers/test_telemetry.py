"""Test pushing an entry's tallies to a router."""

import asyncio

from almondspindle.controllers.telemetry.collector import CollectorController
from almondspindle.controllers.telemetry.pusher import TallyPusher
from almondspindle.core.calls import WorkKind
from almondspindle.core.clock import ManualClock
from almondspindle.core.identifiers import ServiceName
from almondspindle.core.telemetry import RequestMeasurement
from almondspindle.decisions.rolling_windows import Tallies

SERVICE = ServiceName("forecast-llm")


class FlakyClient:
    """Accept tallies only while `is_up` is set."""

    def __init__(self) -> None:
        self.is_up = False
        self.accepted: list[Tallies] = []

    async def push(self, tallies: Tallies) -> bool:
        if self.is_up:
            self.accepted.append(tallies)
        return self.is_up


async def push_during_outage() -> int:
    collector = CollectorController(ManualClock())
    client = FlakyClient()
    pusher = TallyPusher(collector, client)
    task = asyncio.ensure_future(collector.run())
    for client.is_up in (False, False, True, True):
        collector.send(RequestMeasurement(SERVICE, WorkKind.CHAT, False, 5))
        await pusher.push_once()
    task.cancel()
    return sum(tallies[SERVICE].requests for tallies in client.accepted)


def test_tallies_are_not_lost_while_the_router_is_unavailable():
    assert asyncio.run(push_during_outage()) == 4
