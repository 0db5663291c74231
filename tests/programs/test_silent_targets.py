"""Sound targets that send nothing for a moment, and targets that never answer."""

import asyncio

import pytest

from almondspindle.controllers.placement.messages import GetLoads
from tests.standins import replica as r
from tests.standins.node_fleet import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    Host,
    encode_request,
    manifest,
    replica_record,
    running_host,
    running_platform,
    running_store,
    wait_until,
)

LAST_EVENT = 8
CALLER_PATIENCE_S = 2.4  # eight times the objective for gaps
WHOLE_STREAM = b"".join(r.event(number) for number in range(1, LAST_EVENT + 1))
# Longer than a sound target is silent, so that requests leave it.
LONGER_THAN_IDLE_TIMEOUT_S = {"read": 0.9, "stream": 2.4}


def run(check) -> None:
    asyncio.run(check())


def next_number(request: r.ReceivedRequest) -> int:
    return int(request.headers.get("last-event-id", 0)) + 1


def events_from(first: int) -> bytes:
    events = (r.chunk(r.event(number)) for number in range(first, LAST_EVENT + 1))
    return b"".join(events) + b"0\r\n\r\n"


def silent_before_head(request: r.ReceivedRequest) -> r.ScriptedResponse:
    first = next_number(request)
    return r.ScriptedResponse(
        (r.stream_head(request) + events_from(first),), pause_s=LONGER_THAN_IDLE_TIMEOUT_S["stream"]
    )


def silent_after_first_event(request: r.ReceivedRequest) -> r.ScriptedResponse:
    first = next_number(request)
    return r.ScriptedResponse(
        (r.stream_head(request) + r.chunk(r.event(first)), events_from(first + 1)),
        pause_s=LONGER_THAN_IDLE_TIMEOUT_S["stream"],
        pause_before=2,
    )


def silent_read(request: r.ReceivedRequest) -> r.ScriptedResponse:
    pieces = r.complete_response(request).pieces
    return r.ScriptedResponse(pieces, pause_s=LONGER_THAN_IDLE_TIMEOUT_S["read"])


@pytest.mark.parametrize("replicas", [1, 2])
@pytest.mark.parametrize("silent", [silent_before_head, silent_after_first_event])
def test_a_stream_is_not_cut_while_its_targets_are_silent_beside_a_change(silent, replicas):
    async def check() -> None:
        async with running_platform(model=silent, replicas=replicas) as (store, host, _):
            request = encode_request("/resumable/", b"x", X_Deadline_Ms="8000")
            response = asyncio.ensure_future(host.send(request))
            await store.put("config", "main", manifest(version=2))
            whole = await response
            assert (whole.status, whole.is_complete, whole.body) == (200, True, WHOLE_STREAM)

    run(check)


@pytest.mark.parametrize("replicas", [1, 2])
def test_a_read_is_answered_although_its_targets_were_silent(replicas):
    async def check() -> None:
        async with running_platform(plain=silent_read, replicas=replicas) as (_, host, _):
            response = await host.send(encode_request("/read/", b"x"))
            assert (response.status, response.is_complete) == (200, True)

    run(check)


def test_a_stream_is_not_cut_for_want_of_a_place_in_the_retry_budget():
    async def check() -> None:
        async with (
            running_store(model=silent_after_first_event) as (store, groups),
            running_host(store.address, retry_ratio=0, retry_slack=0) as host,
        ):
            await wait_until(host.is_ready)
            request = encode_request("/resumable/", b"x", X_Deadline_Ms="8000")
            response = await host.send(request)
            assert (response.is_complete, response.body) == (True, WHOLE_STREAM)
            assert sum(len(replica.requests) for replica in groups[MODEL_SERVICE]) == 1

    run(check)


@pytest.mark.parametrize("status", ["500 Error", "503 Full"])
def test_a_stream_returns_to_the_silent_target_if_the_next_one_fails(status):
    def behave(request: r.ReceivedRequest) -> r.ScriptedResponse:
        if not runs or request.headers["x-expect-instance"] == runs[0]:
            runs.append(request.headers["x-expect-instance"])
            return silent_after_first_event(request)
        extra = "X-Not-Run: 1\r\n" if status.startswith("503") else ""
        return r.complete_response(request, b"failed", status, extra)

    async def check() -> None:
        async with running_platform(model=behave) as (_, host, _):
            request = encode_request("/resumable/", b"x", X_Deadline_Ms="8000")
            response = await host.send(request)
            assert (response.is_complete, response.body) == (True, WHOLE_STREAM)

    runs: list[str] = []
    run(check)


@pytest.mark.parametrize("pause_before", [1, 2], ids=["before the head", "in the stream"])
def test_a_stream_stays_at_a_sound_target_that_is_silent_for_a_moment(pause_before):
    """It went on at another target while the first one worked on it."""

    def behave(request: r.ReceivedRequest) -> r.ScriptedResponse:
        first = next_number(request)
        pieces = (r.stream_head(request) + r.chunk(r.event(first)), events_from(first + 1))
        return r.ScriptedResponse(pieces, pause_s=1.4, pause_before=pause_before)

    async def check() -> None:
        async with running_platform(model=behave) as (_, host, groups):
            response = await host.send(encode_request("/resumable/", b"x"))
            assert (response.is_complete, response.body) == (True, WHOLE_STREAM)
            assert sum(len(replica.requests) for replica in groups[MODEL_SERVICE]) == 1

    run(check)


def test_a_stream_leaves_a_target_that_is_silent_for_long_before_its_caller_gives_up():
    async def check() -> None:
        mute = r.ScriptedResponse((), "hold")
        seen: list[str] = []

        def behave(request: r.ReceivedRequest) -> r.ScriptedResponse:
            seen.append(request.request_id)
            return mute if len(seen) == 1 else r.stream(request, last=LAST_EVENT)

        async with running_platform(model=behave) as (_, host, _groups):
            request = encode_request("/resumable/", b"x")
            response = await asyncio.wait_for(host.send(request), CALLER_PATIENCE_S)
            assert (response.is_complete, response.body) == (True, WHOLE_STREAM)

    run(check)


def test_an_error_response_is_delivered_if_no_retry_is_possible():
    def error(request: r.ReceivedRequest) -> r.ScriptedResponse:
        return r.complete_response(request, b"failed", status="500 Error")

    async def check() -> None:
        async with (
            running_store(plain=error) as (store, _),
            running_host(store.address, retry_ratio=0, retry_slack=0) as host,
        ):
            await wait_until(host.is_ready)
            response = await host.send(encode_request("/read/", b"x"))
            assert (response.status, response.body) == (500, b"failed")
            assert response.headers["x-response-stamp"] == "s-1"

    run(check)


async def loads(host: Host) -> dict[str, int]:
    """Return the requests in flight that the host counts, by target."""
    return dict(await host.node._placement.request(GetLoads()))


def test_reservations_are_released_when_silent_targets_are_left_or_endured():
    async def check() -> None:
        async with running_platform(plain=silent_read, replicas=3) as (_, host, _):
            ids = [f"r-{number}" for number in range(12)]
            sent = [host.send(encode_request("/read/", b"x", each)) for each in ids]
            assert {response.status for response in await asyncio.gather(*sent)} == {200}
            assert await loads(host) == {}

    run(check)


def test_callers_that_disconnect_during_the_selection_leave_no_reservation():
    async def check() -> None:
        async with running_platform(plain=r.complete_response) as (_, host, _):

            async def abort_soon(number: int) -> None:
                _, writer = await host.open()
                writer.write(encode_request("/read/", b"x", f"r-{number}"))
                await asyncio.sleep(number % 40 * 0.0001)
                writer.transport.abort()

            for start in range(0, 600, 50):
                await asyncio.gather(*(abort_soon(start + offset) for offset in range(50)))

            async def is_idle() -> bool:
                return await loads(host) == {}

            await wait_until(is_idle)

    run(check)


def test_a_silent_target_is_not_left_for_one_that_fails():
    def behave(request: r.ReceivedRequest) -> r.ScriptedResponse:
        if request.headers["x-expect-instance"] == "plain-0":
            return r.ScriptedResponse((), "reset")
        pause_s = 0.5 if request.path == "/read/" else 0.0
        return r.ScriptedResponse(r.complete_response(request).pieces, pause_s=pause_s)

    async def check() -> None:
        async with running_platform(plain=behave) as (_, host, groups):
            failing, silent = groups[PLAIN_SERVICE]
            for number in range(8):  # the failing target is ejected
                await host.send(encode_request("/commit/", b"x", f"c-{number}"))
            seen = len(failing.requests)
            response = await host.send(encode_request("/read/", b"x", "read"))
            assert response.status == 200
            assert [each.request_id for each in silent.requests].count("read") == 1
            assert len(failing.requests) == seen

    run(check)


def test_a_request_that_endured_a_silence_leaves_once_another_target_comes():
    async def check() -> None:
        never = r.ScriptedResponse((), "hold")
        async with running_platform(plain=lambda _: never, replicas=1) as (store, host, groups):
            response = asyncio.ensure_future(host.send(encode_request("/read/", b"x")))
            await groups[PLAIN_SERVICE][0].request_received.wait()
            async with r.Replica(r.complete_response) as sound:
                await store.put("servers", "plain-9", replica_record(sound, PLAIN_SERVICE))
                assert (await response).status == 200

    run(check)


def test_a_target_that_never_answers_is_avoided_although_requests_cannot_leave_it():
    def behave(request: r.ReceivedRequest) -> r.ScriptedResponse:
        is_mute = request.headers["x-expect-instance"] == "plain-0"
        return r.ScriptedResponse((), "hold") if is_mute else r.complete_response(request)

    async def check() -> None:
        async with (
            running_store(plain=behave) as (store, _),
            running_host(store.address, retry_ratio=0, retry_slack=0) as host,
        ):
            await wait_until(host.is_ready)
            ids = [f"r-{number}" for number in range(14)]
            deadline = {"X_Deadline_Ms": "1000"}
            requests = [encode_request("/read/", b"x", each, **deadline) for each in ids]
            responses = [await host.send(request) for request in requests]
            failed = [response for response in responses if response.status != 200]
            assert len(failed) <= 3

    run(check)


def test_a_request_leaves_a_target_that_never_answers():
    async def check() -> None:
        never = r.ScriptedResponse((), "hold")

        def first_never_answers(request: r.ReceivedRequest) -> r.ScriptedResponse:
            mute.append(request.headers["x-expect-instance"])
            is_mute = request.headers["x-expect-instance"] == mute[0]
            return never if is_mute else r.complete_response(request)

        mute: list[str] = []
        async with running_platform(plain=first_never_answers) as (_, host, groups):
            response = await host.send(encode_request("/read/", b"x"))
            assert (response.status, response.is_complete) == (200, True)
            assert sum(len(replica.requests) for replica in groups[PLAIN_SERVICE]) == 2

    run(check)
