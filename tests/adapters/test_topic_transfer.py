"""Transfer of topics between hosts: patches, slow links, and topics that must not wait."""

import asyncio
import json
import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondspindle.adapters.exchange.internal_server import InternalHttpServer
from almondspindle.adapters.exchange.patches import apply_patch, make_patch
from almondspindle.adapters.exchange.topics import TOPIC_PATH, TopicClient, TopicServer
from almondspindle.adapters.platform.base import StoreErrorCode
from almondspindle.controllers.exchange.messages import ReportReceived
from almondspindle.controllers.exchange.runners import Puller
from almondspindle.controllers.exchange.task import ExchangeController
from almondspindle.controllers.view.messages import GetSnapshot, GetTopicUpdate, SnapshotReceived
from almondspindle.controllers.view.task import STORE_SOURCE, ViewController
from almondspindle.core.clock import ManualClock, SystemClock
from almondspindle.core.identifiers import HostName, ZoneName
from almondspindle.core.inventory import CopyVersion, Snapshot, Topic, TopicUpdate
from almondspindle.core.node import Bounds, NodeCfg
from almondspindle.core.outcomes import Ok
from almondspindle.core.reports import HostReport
from almondspindle.decisions.bulk_transfers import bulk_limit_bytes
from almondspindle.decisions.peer_pull import LAST_RESORT_TIMEOUT_S, RESPONSE_TIMEOUT_S
from almondspindle.decisions.store_eras import MAX_ERA
from almondspindle.platform.objects import decode_record
from tests.standins.node_fleet import wait_until
from tests.standins.ports import LOOPBACK, free_port
from tests.standins.revisions import at
from tests.standins.slow_link import SlowLink

CFG = NodeCfg(HostName("h0"), ZoneName("a"), "10.0.0.1", "", "", "", 7340, 7341, 99, Bounds())
LINK_MBPS = 5.0
ROUTE_COUNT = 1400
# A manifest must be in force within 2 s of its acknowledgement. Reports and checks take up to 0.6 s
# of that before the pull starts.
TRANSFER_BOUND_S = 1.4
# Of these 2 s, reports take up to 0.2 s.
SPREAD_BOUND_S = 1.8
AHEAD = {str(Topic.ROUTES): at(7)}


def manifest(version: int, count: int = ROUTE_COUNT) -> bytes:
    """Return a stored manifest whose routes are the same in each version, except for the first."""
    rng = random.Random(5)
    routes = [
        {"name": f"r{rng.randrange(10**6)}", "host": f"h{rng.randrange(10**6)}.example",
         "prefix": f"/p{rng.randrange(10**6)}/", "kind": "stream", "timeout_ms": 12000,
         "latency_target_ms": 1000, "service": "model", "attempts": 1, "gap_aim_ms": 500,
         "sticky": True, "resumable": False, "split": []}
        for _ in range(count)
    ]  # fmt: skip
    routes[0]["timeout_ms"] += version
    document = {
        "meta": {"name": "main", "rev": version, "finalizers": []},
        "spec": {"version": version, "routes": routes, "tenants": []},
    }
    return json.dumps(document).encode()


def make_view(*versions: int) -> ViewController:
    """Return a view that has read `versions` of the manifest one after the other."""
    view = ViewController(CFG, ManualClock(), lambda _: None)
    for version in versions:
        record = decode_record(Topic.ROUTES, manifest(version))
        snapshot = Snapshot(Topic.ROUTES, at(version), (record,))
        view.handle(SnapshotReceived(snapshot, STORE_SOURCE), 1.0)
    return view


def own_copy(view: ViewController) -> Snapshot:
    return view.handle(GetSnapshot(Topic.ROUTES), 1.0)


def serve_topics(view: ViewController, **changes: object) -> tuple[InternalHttpServer, str]:
    """Serve the topics of `view` with some fields of updates replaced."""

    async def get_update(topic: Topic, since: CopyVersion) -> TopicUpdate:
        return replace(view.handle(GetTopicUpdate(topic, since), 1.0), **changes)

    responders = {TOPIC_PATH: TopicServer(get_update).respond}
    server = InternalHttpServer(responders, bulk_limit_bytes(LINK_MBPS))
    address = f"{LOOPBACK}:{free_port()}"
    server.listen(address)
    return server, address


@given(st.lists(st.binary(max_size=4)), st.lists(st.binary(max_size=4)))
def test_a_patch_restores_the_new_bytes(base, new):
    old_bytes, new_bytes = b"{".join(base), b"{".join(new)
    assert apply_patch(old_bytes, make_patch(old_bytes, new_bytes)) == new_bytes


@pytest.mark.parametrize("part", [(0, 9), (-1, 1), (0, 0)])
def test_a_patch_that_does_not_fit_its_base_is_rejected(part):
    with pytest.raises(ValueError):
        apply_patch(b"a{b", [part])


def test_hosts_behind_a_slow_link_get_a_large_manifest_in_time():
    async def check() -> None:
        server, address = serve_topics(make_view(7))
        async with SlowLink(address, LINK_MBPS) as link:
            client = TopicClient(decode_record)

            async def is_served() -> bool:
                base = Snapshot(Topic.ROUTES, at(0), ())
                return (await client.fetch(link.address, base, RESPONSE_TIMEOUT_S)).is_ok()

            pulls = [wait_until(is_served, TRANSFER_BOUND_S) for _ in range(8)]
            await asyncio.gather(*pulls)
        server.close()

    asyncio.run(check())


def test_a_change_of_one_route_is_sent_as_a_patch():
    async def check() -> None:
        server, address = serve_topics(make_view(7, 8))
        async with SlowLink(address, LINK_MBPS) as link:
            base = own_copy(make_view(7))
            result = await TopicClient(decode_record).fetch(link.address, base, RESPONSE_TIMEOUT_S)
            assert result.ok.records[0].raw == manifest(8)
            assert link.sent_bytes < 1000
        server.close()

    asyncio.run(check())


def test_a_copy_whose_version_the_peer_never_had_is_replaced_whole():
    async def check() -> None:
        server, address = serve_topics(make_view(7, 9))
        base = own_copy(make_view(8))
        result = await TopicClient(decode_record).fetch(address, base, RESPONSE_TIMEOUT_S)
        assert result.ok.records[0].raw == manifest(9)
        server.close()

    asyncio.run(check())


@pytest.mark.parametrize("field", ["revision", "last_change", "known_from"])
def test_an_update_with_an_era_that_no_store_can_be_in_is_malformed(field):
    async def check() -> None:
        server, address = serve_topics(make_view(7), **{field: at(8, MAX_ERA + 1)})
        base = Snapshot(Topic.ROUTES, at(0), ())
        result = await TopicClient(decode_record).fetch(address, base, RESPONSE_TIMEOUT_S)
        assert result.error.code is StoreErrorCode.MALFORMED
        server.close()

    asyncio.run(check())


def test_a_large_manifest_does_not_delay_other_topics():
    class StalledRoutes:
        def __init__(self) -> None:
            self.fetched: list[Topic] = []

        async def fetch(self, address: str, base: Snapshot, response_timeout_s: float):
            self.fetched.append(base.topic)
            if base.topic is Topic.ROUTES:
                await asyncio.Event().wait()
            return Ok(Snapshot(base.topic, at(50), ()))

    async def check() -> None:
        view = ViewController(CFG, SystemClock(), lambda _: None)
        exchange = ExchangeController(CFG, SystemClock(), random.Random(1))
        client = StalledRoutes()
        runners = [view, exchange, Puller(view, exchange, client)]
        tasks = [asyncio.ensure_future(runner.run()) for runner in runners]
        ahead = {str(topic): at(50) for topic in (Topic.ROUTES, Topic.TARGETS)}
        peer = HostReport(HostName("h1"), "10.0.0.2:1", 1, ZoneName("a"), revisions=ahead)
        exchange.send(ReportReceived(peer))
        await wait_until(lambda: Topic.TARGETS in client.fetched)
        assert client.fetched.count(Topic.ROUTES) == 1
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(check())


@pytest.mark.parametrize("silent", [1, 2])
def test_a_host_does_not_wait_for_peers_that_are_ahead_but_suspended(silent):
    """Guards against pulling again and again from a neighbour that froze after its report."""

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.close()

    def report(number: int, address: str, zone: str) -> HostReport:
        return HostReport(HostName(f"h{number}"), address, 1, ZoneName(zone), revisions=AHEAD)

    async def check() -> None:
        view = ViewController(CFG, SystemClock(), lambda _: None)
        exchange = ExchangeController(CFG, SystemClock(), random.Random(1))
        runners = [view, exchange, Puller(view, exchange, TopicClient(decode_record))]
        server, address = serve_topics(make_view(7))
        suspended = [await asyncio.start_server(accept, LOOPBACK, 0) for _ in range(silent)]
        for number, each in enumerate(suspended, 1):
            peer = f"{LOOPBACK}:{each.sockets[0].getsockname()[1]}"
            exchange.send(ReportReceived(report(number, peer, zone="a")))
        exchange.send(ReportReceived(report(9, address, zone="b")))
        tasks = [asyncio.ensure_future(runner.run()) for runner in runners]

        async def is_applied() -> bool:
            return (await view.request(GetSnapshot(Topic.ROUTES))).revision == at(7)

        await wait_until(is_applied, SPREAD_BOUND_S)
        server.close()
        for each in suspended:
            each.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(check())


def test_a_peer_that_is_slow_to_respond_is_pulled_from_if_no_other_is_ahead():
    async def check() -> None:
        view = make_view(7)
        pause_s = (RESPONSE_TIMEOUT_S + LAST_RESORT_TIMEOUT_S) / 2

        async def get_update(topic: Topic, since: CopyVersion) -> TopicUpdate:
            await asyncio.sleep(pause_s)
            return view.handle(GetTopicUpdate(topic, since), 1.0)

        server = InternalHttpServer({TOPIC_PATH: TopicServer(get_update).respond})
        address = f"{LOOPBACK}:{free_port()}"
        server.listen(address)
        base = Snapshot(Topic.ROUTES, at(0), ())
        client = TopicClient(decode_record)
        early = await client.fetch(address, base, RESPONSE_TIMEOUT_S)
        assert early.is_error()
        assert early.error.is_silent
        assert (await client.fetch(address, base, LAST_RESORT_TIMEOUT_S)).is_ok()
        server.close()

    asyncio.run(check())
