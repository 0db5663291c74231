"""Tests for planned stops of a host on the users' platform, with callers on open connections."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from tests.standins import replica as r
from tests.standins.node_fleet import (
    encode_request,
    read_response,
    running_host,
    running_store,
    wait_until,
)

BODY = b"x" * 100


def run(check) -> None:
    asyncio.run(check())


@asynccontextmanager
async def host_with_grace(grace_s: float, **behaviours):
    """Run a host that has `grace_s` seconds to stop; yield it and the replicas by service."""
    async with (
        running_store(**behaviours) as (store, groups),
        running_host(store.address, grace_s=grace_s) as host,
    ):
        await wait_until(host.is_ready)
        yield host, groups


@asynccontextmanager
async def open_connection(host):
    reader, writer = await host.open()
    try:
        yield reader, writer
    finally:
        writer.close()


def held(request: r.ReceivedRequest) -> r.ScriptedResponse:
    return r.ScriptedResponse((), "hold")


@pytest.mark.parametrize("grace_s", [0.5, 1.0, 4.0])
def test_what_is_in_flight_at_the_end_of_the_grace_is_refused_with_an_unknown_outcome(grace_s):
    async def check() -> None:
        async with (
            host_with_grace(grace_s, plain=held) as (host, groups),
            open_connection(host) as (reader, writer),
        ):
            writer.write(encode_request("/commit/", BODY, X_Deadline_Ms="60000"))
            await wait_until(lambda: any(each.requests for each in groups["plain"]))
            stopped_at = asyncio.get_running_loop().time()
            host.stop.set()
            response = await read_response(reader)
            assert (response.status, response.is_complete) == (502, True)
            assert response.headers["connection"] == "close"
            writer.close()
            assert await host.task == 0
            assert asyncio.get_running_loop().time() - stopped_at < grace_s

    run(check)
