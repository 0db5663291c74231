"""Streams of a host on the users' platform that are slow, or that stall without ending."""

import asyncio
from dataclasses import replace

import pytest

from tests.standins import replica as r
from tests.standins.node_fleet import encode_request, running_platform


def run(check) -> None:
    asyncio.run(check())


@pytest.mark.parametrize("path", ["/stream/", "/resumable/"])
def test_a_stream_that_stalls_but_sends_a_byte_now_and_then_is_ended(path):
    def behave(request: r.ReceivedRequest) -> r.ScriptedResponse:
        head = r.stream_head(request, is_chunked=False) + b"id: 1\ndata: "
        return r.ScriptedResponse((head, *[b"x"] * 1000), pause_s=0.02)

    async def check() -> None:
        async with running_platform(model=behave) as (_, host, _):
            started_at = asyncio.get_running_loop().time()
            response = await host.send(encode_request(path, b"x", X_Deadline_Ms="700"))
            took_s = asyncio.get_running_loop().time() - started_at
            assert (response.status, took_s < 1.5) == (504, True)

    run(check)


def test_a_slow_but_sound_stream_is_not_cut():
    """The gaps between events are just within the objective of the route."""

    def behave(request: r.ReceivedRequest) -> r.ScriptedResponse:
        return replace(r.stream(request, last=8), pause_s=0.28)

    async def check() -> None:
        async with running_platform(model=behave) as (_, host, groups):
            response = await host.send(encode_request("/resumable/", b"x"))
            assert response.is_complete
            assert response.body == b"".join(r.event(number) for number in range(1, 9))
            assert sum(len(replica.requests) for replica in groups["model"]) == 1

    run(check)
