"""A request must not be sent again if the target reads it and closes without a response."""

import asyncio

import pytest

from almondspindle.adapters.target.http1 import HttpTargetClient
from almondspindle.core.calls import Call
from almondspindle.core.clock import SystemClock
from almondspindle.core.outcomes import RunState

BODY = b'{"order": 1}'


class ClosingTarget:
    """Read complete requests. Respond to the first `responses` of each connection, then close."""

    def __init__(self, responses: int) -> None:
        self.responses = responses
        self.requests = 0
        self.connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle one connection."""
        self.connections += 1
        remaining = self.responses
        while head := await reader.readuntil(b"\r\n\r\n"):
            assert b"content-length: 12" in head.lower()
            await reader.readexactly(len(BODY))
            self.requests += 1
            if not remaining:
                break
            remaining -= 1
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            break
        writer.close()


class Sink:
    """Discard every part of a response."""

    async def write(self, part) -> None:
        """Discard `part`."""


async def send_twice(responses: int) -> tuple[ClosingTarget, list]:
    target = ClosingTarget(responses)
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    client, clock = HttpTargetClient(SystemClock()), SystemClock()
    completions = []
    for _ in range(2):
        now = clock.monotonic()
        call = Call("r", now + 10.0, "POST", "/orders", body=BODY, target_path="/orders")
        call = call.copy_with(target="t", target_address=address)
        completions.append(await client.send(call, Sink(), now))
    server.close()
    await server.wait_closed()
    return target, completions


@pytest.mark.parametrize("responses", [0, 1])
def test_each_request_is_sent_once_on_a_connection_of_its_own(responses):
    target, completions = asyncio.run(send_twice(responses))
    assert (target.requests, target.connections) == (2, 2)
    for completion in completions:
        if responses:
            assert completion.refusal is None
        else:
            assert completion.refusal.run_state is RunState.UNKNOWN


def test_a_refused_connection_is_reported_as_not_run():
    async def check() -> None:
        server = await asyncio.start_server(ClosingTarget(0).serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        server.close()
        await server.wait_closed()
        call = Call("r", 10.0, "POST", "/", body=BODY).copy_with(target="t", target_address=address)
        completion = await HttpTargetClient(SystemClock()).send(call, Sink(), 0.0)
        assert completion.refusal.run_state is RunState.NOT_RUN

    asyncio.run(check())
