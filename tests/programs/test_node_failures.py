"""An exception in one controller of a host doesn't end the requests of the host."""

import asyncio
from dataclasses import replace

import pytest

from almondspindle.controllers.base import MAX_FAILURES_IN_SUCCESSION
from almondspindle.core.exit_codes import EXIT_FAILED
from tests.standins import replica as r
from tests.standins.node_fleet import Host, encode_request, running_platform, wait_until

CONTROLLERS = ("_placement", "_view", "_quarantine", "_durations", "_rollouts", "_exchange")
TIMEOUT_S = 20.0
UNKNOWN = object()  # a message that no controller can handle


@pytest.mark.parametrize("name", CONTROLLERS)
def test_requests_go_on_after_an_exception_in_a_controller(name):
    """An exception in the quarantine's controller ended the process and all its requests."""

    async def check() -> None:
        gate = asyncio.Event()

        def behave(request: r.ReceivedRequest) -> r.ScriptedResponse:
            return replace(r.stream(request), gate=gate)

        async with running_platform(model=behave, plain=r.complete_response) as (_, host, _groups):
            reader, writer = await host.open()
            writer.write(encode_request("/stream/", b"x"))
            await reader.readuntil(b"token-3")
            getattr(host.node, name).send(UNKNOWN)
            assert (await host.send(encode_request("/commit/", b"x", "r-2"))).status == 200
            gate.set()
            await reader.readuntil(b"0\r\n\r\n")
            writer.close()
            assert await host.is_ready()
            assert not host.task.done()

    asyncio.run(asyncio.wait_for(check(), TIMEOUT_S))


def test_a_host_whose_controller_ends_finishes_the_requests_in_flight():
    async def is_not_ready(host: Host) -> bool:
        return not await host.is_ready()

    async def check() -> None:
        gate = asyncio.Event()

        def behave(request: r.ReceivedRequest) -> r.ScriptedResponse:
            return replace(r.stream(request), gate=gate)

        async with running_platform(model=behave, plain=r.complete_response) as (_, host, _groups):
            reader, writer = await host.open()
            writer.write(encode_request("/stream/", b"x"))
            await reader.readuntil(b"token-3")
            for _ in range(MAX_FAILURES_IN_SUCCESSION):
                host.node._placement.send(UNKNOWN)
            await wait_until(lambda: is_not_ready(host))
            response = await host.send(encode_request("/commit/", b"x", "r-2"))
            assert response.status in (500, 502, 503)
            gate.set()
            await reader.readuntil(b"0\r\n\r\n")
            assert await asyncio.wait_for(host.task, 10) == EXIT_FAILED

    asyncio.run(asyncio.wait_for(check(), TIMEOUT_S))
