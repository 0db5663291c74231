"""Responses that break off: in a head, inside an event, or at the replica that continues them."""

import asyncio

import pytest

from tests.standins import replica as r
from tests.standins.node_fleet import encode_request, running_platform

CUT_EVENT = r.event(2)[:-5]
ERROR_TEXT = b"upstream failed"


def run(check) -> None:
    asyncio.run(check())


def cut_without_framing(request: r.ReceivedRequest) -> r.ScriptedResponse:
    """Return a stream without a length or chunks that its replica closes inside an event."""
    pieces = (r.stream_head(request, is_chunked=False), r.event(1) + CUT_EVENT)
    return r.ScriptedResponse(pieces, "close")


def cut_in_chunks(request: r.ReceivedRequest) -> r.ScriptedResponse:
    """Return a stream whose chunks are complete, but whose last event isn't."""
    pieces = (r.stream_head(request), r.chunk(r.event(1) + CUT_EVENT), b"0\r\n\r\n")
    return r.ScriptedResponse(pieces)


@pytest.mark.parametrize("broken", [cut_without_framing, cut_in_chunks])
def test_a_stream_that_ends_inside_an_event_is_not_complete(broken):
    async def check() -> None:
        async with running_platform(model=broken) as (_, host, _):
            response = await host.send(encode_request("/stream/", b"x"))
            assert (response.is_complete, response.body) == (False, r.event(1))

    run(check)


@pytest.mark.parametrize("broken", [cut_without_framing, cut_in_chunks])
def test_a_resumable_stream_that_ends_inside_an_event_continues(broken):
    def behave(request: r.ReceivedRequest) -> r.ScriptedResponse:
        if "last-event-id" in request.headers:
            return r.stream(request, first=2, last=4)
        return broken(request)

    async def check() -> None:
        async with running_platform(model=behave) as (_, host, _):
            response = await host.send(encode_request("/resumable/", b"x"))
            assert response.is_complete
            assert response.body == b"".join(r.event(number) for number in (1, 2, 3, 4))

    run(check)


def test_a_stream_that_closes_without_an_event_is_not_complete():
    def behave(request: r.ReceivedRequest) -> r.ScriptedResponse:
        return r.ScriptedResponse((r.stream_head(request, is_chunked=False),), "close")

    async def check() -> None:
        async with running_platform(model=behave) as (_, host, _):
            assert (await host.send(encode_request("/stream/", b"x"))).status == 502

    run(check)


def test_a_stream_without_framing_that_ends_after_an_event_is_complete():
    def behave(request: r.ReceivedRequest) -> r.ScriptedResponse:
        pieces = (r.stream_head(request, is_chunked=False), r.event(1), r.event(2))
        return r.ScriptedResponse(pieces, "close")

    async def check() -> None:
        async with running_platform(model=behave) as (_, host, _):
            response = await host.send(encode_request("/stream/", b"x"))
            assert (response.is_complete, response.body) == (True, r.event(1) + r.event(2))

    run(check)


def test_a_response_that_breaks_off_anywhere_is_never_delivered_as_complete():
    async def check() -> None:
        cut_at = [0]

        def behave(request: r.ReceivedRequest) -> r.ScriptedResponse:
            data = r.complete_response(request, b"x" * 20).pieces[0]
            return r.ScriptedResponse((data[: cut_at[0]],), "close")

        request = encode_request("/commit/", b"x")
        async with running_platform(plain=behave, replicas=8) as (_, host, _):
            received = r.ReceivedRequest("POST", "/", {"x-request-id": "r-1"}, b"", 1)
            length = len(r.complete_response(received, b"x" * 20).pieces[0])
            for cut_at[0] in range(length):
                assert (await host.send(request)).status == 502
            cut_at[0] = length
            assert (await host.send(request)).body == b"x" * 20

    run(check)


def failed(request: r.ReceivedRequest) -> r.ScriptedResponse:
    return r.complete_response(request, ERROR_TEXT, "500 Internal Server Error")


def failed_in_200(request: r.ReceivedRequest) -> r.ScriptedResponse:
    return r.complete_response(request, ERROR_TEXT + b"\n\n", extra="Content-Type: text/plain\r\n")


def failed_as_event(request: r.ReceivedRequest) -> r.ScriptedResponse:
    event = b"data: " + ERROR_TEXT + b"\n\n"
    return r.ScriptedResponse((r.stream_head(request), r.chunk(event), b"0\r\n\r\n"))


def closed_at_once(request: r.ReceivedRequest) -> r.ScriptedResponse:
    return r.ScriptedResponse((r.stream_head(request, is_chunked=False),), "close")


def cut_head(request: r.ReceivedRequest) -> r.ScriptedResponse:
    return r.ScriptedResponse((r.stream_head(request)[:40],), "close")


@pytest.mark.parametrize(
    "answer",
    [failed, failed_in_200, failed_as_event, closed_at_once, cut_head, r.rejected, r.misdirected],
)
def test_the_error_of_the_next_replica_does_not_enter_a_stream_that_has_begun(answer):
    def behave(request: r.ReceivedRequest) -> r.ScriptedResponse:
        if "last-event-id" in request.headers:
            return answer(request)
        return r.ScriptedResponse((r.stream_head(request), r.chunk(r.event(1))), "reset")

    async def check() -> None:
        async with running_platform(model=behave) as (_, host, _):
            response = await host.send(encode_request("/resumable/", b"x"))
            assert (response.is_complete, response.body) == (False, r.event(1))

    run(check)


def test_the_events_before_a_fault_are_delivered_before_the_stream_continues():
    def behave(request: r.ReceivedRequest) -> r.ScriptedResponse:
        if "last-event-id" in request.headers:
            return r.stream(request, first=int(request.headers["last-event-id"]) + 1, last=4)
        faulty = b"".join(r.event(number) for number in (1, 2, 4))
        return r.ScriptedResponse((r.stream_head(request), r.chunk(faulty)), "hold")

    async def check() -> None:
        async with running_platform(model=behave) as (_, host, _):
            response = await host.send(encode_request("/resumable/", b"x"))
            assert response.is_complete
            assert response.body == b"".join(r.event(number) for number in (1, 2, 3, 4))

    run(check)
