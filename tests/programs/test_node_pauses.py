"""Replicas that reject a request and ask for a pause get nothing from that host until its end."""

import asyncio
from dataclasses import dataclass, field

import pytest

from tests.standins import replica as r
from tests.standins.node_fleet import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    Host,
    encode_request,
    running_platform,
    wait_until,
)

PAUSE_S = 1.0
BURST = 10
STORE_DOWN = 503


def run(check) -> None:
    asyncio.run(check())


def rejected(request: r.ReceivedRequest, pause: str, header: str = "X-Not-Run: 1\r\n"):
    extra = f"Retry-After: {pause}\r\n{header}"
    return r.complete_response(request, b"", "503 Service Unavailable", extra)


@dataclass
class Pausing:
    """Replicas of which the first one that gets a request asks for a pause, once.

    `later` has the seconds from that rejection to each later request that reached it.
    """

    pause: str = str(PAUSE_S)
    header: str = "X-Not-Run: 1\r\n"
    name: str = ""
    rejected_at: float = 0.0
    later: list[float] = field(default_factory=list)

    def __call__(self, request: r.ReceivedRequest) -> r.ScriptedResponse:
        name, now = request.headers["x-expect-instance"], asyncio.get_running_loop().time()
        if not self.name:
            self.name, self.rejected_at = name, now
            return rejected(request, self.pause, self.header)
        if name == self.name:
            self.later.append(now - self.rejected_at)
        return r.complete_response(request)


async def send_burst(host: Host, path: str = "/read/") -> list[int]:
    data = [encode_request(path, b"x", f"burst-{number}") for number in range(BURST)]
    return [each.status for each in await asyncio.gather(*(host.send(item) for item in data))]


@pytest.mark.parametrize("path", ["/read/", "/commit/"])
@pytest.mark.parametrize("is_store_down", [False, True])
def test_a_replica_that_asks_for_a_pause_gets_nothing_until_its_end(path, is_store_down):
    async def check() -> None:
        replicas = Pausing()
        async with running_platform(plain=replicas) as (store, host, _):
            if is_store_down:
                await store.fail_calls(STORE_DOWN)
            assert (await host.send(encode_request(path, b"x", "first"))).status == 200

            async def has_returned() -> bool:
                assert set(await send_burst(host, path)) == {200}
                return bool(replicas.later)

            await wait_until(has_returned)
            assert replicas.later[0] >= PAUSE_S

    run(check)


def test_a_rejection_that_may_have_run_asks_for_a_pause_too():
    async def check() -> None:
        replicas = Pausing(header="")
        async with running_platform(plain=replicas) as (_, host, _groups):
            assert (await host.send(encode_request("/commit/", b"x", "first"))).status == 503
            assert set(await send_burst(host)) == {200}
            assert not replicas.later

    run(check)


def test_callers_learn_when_the_first_pause_ends_if_all_replicas_paused():
    async def check() -> None:
        behave = lambda request: rejected(request, "30")  # noqa: E731
        async with running_platform(plain=behave) as (_, host, groups):
            data = [encode_request("/read/", b"x", f"r-{number}") for number in range(BURST)]
            first = await host.send(data[0])
            assert (first.status, len(groups[PLAIN_SERVICE])) == (503, 2)
            responses = [first, *[await host.send(each) for each in data[1:]]]
            waits = [float(each.headers["retry-after"]) for each in responses]
            assert {each.status for each in responses} == {503}
            assert min(waits) > 25.0 and max(waits) < 33.0
            assert len(set(waits)) > BURST / 2
            assert [len(replica.requests) for replica in groups[PLAIN_SERVICE]] == [1, 1]

    run(check)


@pytest.mark.parametrize("pause", ["-1", "nan", "9" * 5000, "Fri, 05 Dec 2026 07:00:00 GMT", "x"])
def test_an_odd_length_of_a_pause_harms_no_request(pause):
    async def check() -> None:
        replicas = Pausing(pause)
        async with running_platform(plain=replicas) as (_, host, _groups):
            assert (await host.send(encode_request("/commit/", b"x", "first"))).status == 200
            assert set(await send_burst(host)) == {200}

    run(check)


def test_a_paused_replica_is_not_probed_by_a_connection():
    cut = asyncio.Event()

    def respond(request: r.ReceivedRequest) -> r.ScriptedResponse:
        if request.request_id == "cut":
            return r.ScriptedResponse((b"HTTP", b"/1.1 2"), then="reset", gate=cut)
        return rejected(request, "30")

    async def check() -> None:
        async with running_platform(model=respond, replicas=1) as (_, host, groups):
            replica = groups[MODEL_SERVICE][0]
            parts = {"X_Prompt_Prefix": "aa:800,b1:20", "X_Token_Count": "820,9"}
            waiting = asyncio.create_task(
                host.send(encode_request("/stream/", b"x", "cut", **parts))
            )
            await wait_until(lambda: len(replica.requests) == 1)
            assert (await host.send(encode_request("/stream/", b"x", "r", **parts))).status == 503
            connections = replica.connections
            cut.set()
            assert (await waiting).status == 502
            assert replica.connections == connections

    run(check)
