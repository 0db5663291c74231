"""Replicas that say in their answers that they leave get nothing more from a host."""

import asyncio
from dataclasses import replace

import pytest

from tests.standins import replica as r
from tests.standins.node_fleet import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    Host,
    encode_request,
    replica_record,
    running_host,
    running_platform,
    running_store,
    wait_until,
)
from tests.standins.replica import Replica

LEAVING = "Server-Leaving: 1\r\n"
STORE_DOWN = 503
BURST = 20


def run(check) -> None:
    asyncio.run(check())


def with_header(script: r.ScriptedResponse, header: str) -> r.ScriptedResponse:
    head = script.pieces[0].replace(b"\r\n\r\n", f"\r\n{header}\r\n".encode(), 1)
    return replace(script, pieces=(head, *script.pieces[1:]))


def leaving(script: r.ScriptedResponse) -> r.ScriptedResponse:
    return with_header(script, LEAVING)


def broken_stream(request: r.ReceivedRequest) -> r.ScriptedResponse:
    return r.ScriptedResponse((r.stream_head(request), r.chunk(r.event(1))), then="reset")


def silent_after_head(request: r.ReceivedRequest) -> r.ScriptedResponse:
    return r.ScriptedResponse((r.stream_head(request),), then="hold")


def failed(request: r.ReceivedRequest) -> r.ScriptedResponse:
    return r.complete_response(request, status="500 Internal Server Error")


def late_copy(request: r.ReceivedRequest) -> r.ScriptedResponse:
    return r.complete_response(replace(request, headers={"x-request-id": "another"}))


async def send_burst(host: Host, path: str = "/read/", name: str = "burst") -> list[int]:
    """Send some requests at once and return the statuses of the responses."""
    data = [encode_request(path, b"x", f"{name}-{number}") for number in range(BURST)]
    responses = await asyncio.gather(*(host.send(each) for each in data))
    return [response.status for response in responses]


async def counter(host: Host, name: str) -> int:
    text = (await host.get(host.metrics_address, "/metrics")).body.decode()
    lines = [line for line in text.splitlines() if line.startswith(f"almondspindle_{name}_total ")]
    return int(lines[0].split()[1]) if lines else 0


async def hear_leaving(host: Host, path: str, group: list[Replica]) -> Replica:
    """Send a request, after whose response the host knows which replica leaves; return that."""
    await host.send(encode_request(path, b"x", "first", X_Deadline_Ms="400"))
    await wait_until(lambda: any(replica.requests for replica in group))
    return next(replica for replica in group if replica.requests)


@pytest.mark.parametrize(
    ("path", "behave"),
    [
        ("/read/", r.complete_response),
        ("/commit/", r.complete_response),
        ("/read/", failed),
        ("/commit/", failed),
        ("/commit/", r.rejected),
        ("/read/", late_copy),
        ("/stream/", broken_stream),
        ("/resumable/", broken_stream),
        ("/stream/", silent_after_head),
    ],
)
def test_a_replica_gets_nothing_after_any_answer_that_says_it_leaves(path, behave):
    said: list[str] = []

    def respond(request: r.ReceivedRequest) -> r.ScriptedResponse:
        name = request.headers["x-expect-instance"]
        if not said:
            said.append(name)
            return leaving(behave(request))
        is_stream = "stream" in path or "resumable" in path
        first = int(request.headers.get("last-event-id", 0)) + 1
        return r.stream(request, first) if is_stream else r.complete_response(request)

    async def check() -> None:
        service = MODEL_SERVICE if path in ("/stream/", "/resumable/") else PLAIN_SERVICE
        behaviours = {service: respond}
        async with running_platform(**behaviours) as (store, host, groups):
            await store.fail_calls(STORE_DOWN)
            await hear_leaving(host, path, groups[service])
            assert set(await send_burst(host, path)) == {200}
            asked = [
                request.headers["x-expect-instance"]
                for replica in groups[service]
                for request in replica.requests
            ]
            assert asked.count(said[0]) == 1
            assert await counter(host, "leavings") == 1

    run(check)


def test_a_caller_that_gives_up_after_the_head_does_not_hide_the_leaving():
    def respond(request: r.ReceivedRequest) -> r.ScriptedResponse:
        script = silent_after_head(request) if request.request_id == "first" else r.stream(request)
        return leaving(script) if request.request_id == "first" else script

    async def check() -> None:
        async with running_platform(model=respond) as (_, host, groups):
            _, writer = await host.open()
            writer.write(encode_request("/stream/", b"x", "first"))
            await wait_until(lambda: any(replica.requests for replica in groups[MODEL_SERVICE]))
            told = next(replica for replica in groups[MODEL_SERVICE] if replica.requests)
            writer.close()
            await told.disconnected.wait()
            assert set(await send_burst(host, "/stream/")) == {200}
            assert len(told.requests) == 1

    run(check)


def test_a_stream_in_flight_at_a_replica_that_leaves_is_completed():
    may_end = asyncio.Event()

    def respond(request: r.ReceivedRequest) -> r.ScriptedResponse:
        if request.request_id == "waiting":
            return replace(r.stream(request), gate=may_end)
        return leaving(r.stream(request))

    async def check() -> None:
        async with running_platform(model=respond, replicas=1) as (_, host, groups):
            waiting = asyncio.create_task(host.send(encode_request("/stream/", b"x", "waiting")))
            await wait_until(lambda: len(groups[MODEL_SERVICE][0].requests) == 1)
            await host.send(encode_request("/stream/", b"x", "first"))
            assert set(await send_burst(host, "/stream/")) == {503}
            may_end.set()
            response = await waiting
            assert (response.status, response.is_complete) == (200, True)

    run(check)


def test_the_header_does_not_reach_callers():
    async def check() -> None:
        behave = lambda request: leaving(r.complete_response(request))  # noqa: E731
        async with running_platform(plain=behave) as (_, host, _groups):
            response = await host.send(encode_request("/read/", b"x"))
            assert response.status == 200
            assert "server-leaving" not in response.headers

    run(check)


def leave_once_asked(request: r.ReceivedRequest) -> r.ScriptedResponse:
    script = r.complete_response(request)
    return leaving(script) if request.request_id == "first" else script


def test_a_record_that_still_says_ready_does_not_bring_the_replica_back():
    async def check() -> None:
        async with (
            running_platform(plain=leave_once_asked) as (store, host, groups),
            Replica(r.complete_response) as added,
        ):
            group = groups[PLAIN_SERVICE]
            told = await hear_leaving(host, "/read/", group)
            number = group.index(told)
            again = replica_record(told, PLAIN_SERVICE, seq=2)
            await store.put("servers", f"{PLAIN_SERVICE}-{number}", again)
            await store.put("servers", "added", replica_record(added, PLAIN_SERVICE))
            await serves(host, added)
            assert len(told.requests) == 1

    run(check)


async def serves(host: Host, replica: Replica) -> None:
    """Send requests until `replica` gets one."""

    async def has_request() -> bool:
        assert 503 not in await send_burst(host)
        return bool(replica.requests)

    await wait_until(has_request)


@pytest.mark.parametrize(
    ("name", "changes"),
    [(f"{PLAIN_SERVICE}-0", {"born": 2}), ("another", {})],
    ids=["under its id", "another replica at the address"],
)
def test_a_replica_that_started_since_gets_requests(name, changes):
    async def check() -> None:
        async with running_platform(plain=leave_once_asked, replicas=1) as (store, host, groups):
            told = await hear_leaving(host, "/read/", groups[PLAIN_SERVICE])
            assert set(await send_burst(host)) == {503}
            await store.remove("servers", f"{PLAIN_SERVICE}-0")
            await store.put("servers", name, replica_record(told, PLAIN_SERVICE, **changes))

            async def is_served() -> bool:
                return (await host.send(encode_request("/read/", b"x", "r"))).status == 200

            await wait_until(is_served)
            assert len(told.requests) == 2

    run(check)


def test_other_hosts_learn_of_it_while_the_store_is_away():
    async def check() -> None:
        async with (
            running_store(plain=leave_once_asked) as (store, groups),
            running_host(store.address, 1) as first,
            running_host(store.address, 2) as second,
        ):
            await wait_until(first.is_ready)
            await wait_until(second.is_ready)
            await wait_until(lambda: len(store.objects.get("almondspindle-hosts", {})) == 2)
            await store.fail_calls(STORE_DOWN)
            told = await hear_leaving(first, "/read/", groups[PLAIN_SERVICE])

            async def has_learned() -> bool:
                return await counter(second, "leavings") == 1

            await wait_until(has_learned)
            for host in (first, second):
                assert set(await send_burst(host)) == {200}
            assert len(told.requests) == 1

    run(check)


def test_a_host_that_restarted_learns_of_it_from_peers_before_the_record_states_it():
    async def check() -> None:
        async with (
            running_store(plain=leave_once_asked) as (store, groups),
            running_host(store.address, 1) as first,
        ):
            await wait_until(first.is_ready)
            async with running_host(store.address, 2) as second:
                await wait_until(second.is_ready)
                told = await hear_leaving(first, "/read/", groups[PLAIN_SERVICE])
            async with running_host(store.address, 2) as restarted:
                await wait_until(restarted.is_ready)

                async def has_learned() -> bool:
                    return await counter(restarted, "leavings") == 1

                await wait_until(has_learned)
                assert set(await send_burst(restarted)) == {200}
                assert len(told.requests) == 1

    run(check)


def test_the_answer_of_another_replica_does_not_take_out_the_expected_one():
    def respond(request: r.ReceivedRequest) -> r.ScriptedResponse:
        is_first = request.request_id == "first"
        return leaving(r.misdirected(request)) if is_first else r.complete_response(request)

    async def check() -> None:
        async with running_platform(plain=respond, replicas=1) as (_, host, groups):
            await hear_leaving(host, "/read/", groups[PLAIN_SERVICE])

            async def is_served() -> bool:
                return (await host.send(encode_request("/read/", b"x", "r"))).status == 200

            await wait_until(is_served)

    run(check)


def test_a_stream_goes_on_elsewhere_if_a_replica_rejects_its_rest():
    rejected: list[str] = []

    def respond(request: r.ReceivedRequest) -> r.ScriptedResponse:
        if "last-event-id" not in request.headers:
            return leaving(broken_stream(request))
        if not rejected:
            rejected.append(request.request_id)
            return r.rejected(request)
        return r.stream(request, first=2)

    async def check() -> None:
        async with running_platform(model=respond, replicas=3) as (_, host, groups):
            response = await host.send(encode_request("/resumable/", b"x"))
            assert (response.status, response.is_complete) == (200, True)
            assert response.body == b"".join(r.event(number) for number in (1, 2, 3))
            assert [len(replica.requests) for replica in groups[MODEL_SERVICE]] == [1, 1, 1]

    run(check)
