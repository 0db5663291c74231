"""Whatever the store's entries hold, the controllers that use them go on."""

import copy
import json
import random

from hypothesis import given
from hypothesis import strategies as st

from almondspindle.controllers.exchange.messages import GetReportReceivers, GetZoneRelay
from almondspindle.controllers.exchange.task import ExchangeController
from almondspindle.controllers.placement.messages import GetFailures, GetLoads, SelectTarget
from almondspindle.controllers.placement.task import PlacementController
from almondspindle.controllers.rollouts.messages import AdvanceRollouts
from almondspindle.controllers.rollouts.task import RolloutsController
from almondspindle.controllers.view.messages import (
    GetRevisions,
    GetTopicUpdate,
    HostsChanged,
    Publication,
    RolloutsChanged,
    RoutesChanged,
    SnapshotReceived,
)
from almondspindle.controllers.view.task import STORE_SOURCE, ViewController
from almondspindle.core.clock import ManualClock
from almondspindle.core.identifiers import HostName, ServiceName, ZoneName
from almondspindle.core.inventory import CopyVersion, Snapshot, Topic
from almondspindle.core.reports import HostReport
from almondspindle.decisions.route_matching import choose_service
from almondspindle.platform.objects import decode_record
from tests.controllers.test_placement import make_cfg
from tests.platform.test_objects import MANIFEST
from tests.standins.odd_objects import HOST, REPLICA, ROLLOUT, stored
from tests.standins.revisions import at

COLD_REPLICA = {**REPLICA, "service": "s1", "cold_left_ms": 5000}
SPECS = {Topic.TARGETS: COLD_REPLICA, Topic.HOSTS: HOST, Topic.ROUTES: MANIFEST, Topic.ZONES: {},
         Topic.ROLLOUTS: ROLLOUT}  # fmt: skip
NUMBERS = [0, 1, -1, 0.5, 2**31, 2**53, 2**63, 2**64, 10**22, 10**400, 1e12, 1e300, -1e300, 5e-324]
odd_values = st.sampled_from(
    [*NUMBERS, None, True, "", "\r\n", "\0", "²", "x" * 5000, "127.0.0.1:1", [], {}, [[]], [{}]]
).map(copy.deepcopy)


@st.composite
def entries(draw: st.DrawFn) -> tuple[Topic, bytes]:
    """An entry of some topic with odd values at any depth of its spec, and any revision."""
    topic = draw(st.sampled_from(sorted(SPECS)))
    spec = json.loads(json.dumps(SPECS[topic]))
    for _ in range(draw(st.integers(0, 3))):
        place = spec
        while isinstance(place, dict | list) and place:
            key = draw(st.sampled_from(sorted(place) if isinstance(place, dict) else [0]))
            if not isinstance(place[key], dict | list) or draw(st.booleans()):
                place[key] = draw(odd_values)
                break
            place = place[key]
    name = draw(st.sampled_from(["main", "a", "é", "x\r\n", "y" * 300]))
    return topic, stored(spec, name, json.dumps(draw(odd_values | st.just(5))).encode())


@given(st.lists(entries(), max_size=6))
def test_any_entries_leave_the_controllers_working(found):
    cfg, clock = make_cfg(), ManualClock()
    published: list[Publication] = []
    view = ViewController(cfg, clock, published.append)
    placement = PlacementController(cfg, clock)
    exchange = ExchangeController(cfg, clock, random.Random(1))
    rollouts = RolloutsController(cfg, clock, lambda rules: placement.handle(rules, 1.0))
    for topic in Topic:
        decoded = [decode_record(t, raw, at(100)) for t, raw in found if t is topic]
        records = tuple(record for record in decoded if record is not None)
        view.handle(SnapshotReceived(Snapshot(topic, at(100), records), STORE_SOURCE), 1.0)
        update = view.handle(GetTopicUpdate(topic, CopyVersion()), 1.0)
        assert len(update.changed) == len({record.name for record in records})
        assert update.unchanged == ()
    for publication in published:
        if isinstance(publication, RolloutsChanged):
            rollouts.handle(publication, 1.0)
        else:
            placement.handle(publication, 1.0)
        if isinstance(publication, HostsChanged):
            exchange.handle(publication, 1.0)
        if isinstance(publication, RoutesChanged):
            for routes in publication.table.routes.values():
                assert all(choose_service(route, "r-1") is not None for route in routes)
    for service in ("plain", "s1", ""):
        placement.handle(SelectTarget(ServiceName(service), "part", "r-1"), 1.0)
    for now in (1.0, 2.0, 1e6):
        rollouts.handle(AdvanceRollouts({}), now)
    placement.handle(GetLoads(), 1.0)
    placement.handle(GetFailures(), 1.0)
    exchange.handle(GetReportReceivers(), 1.0)
    exchange.handle(GetZoneRelay(HostReport(HostName("h0"), "10.0.0.1:1", 1, ZoneName("a"))), 1.0)
    revisions = view.handle(GetRevisions(), 1.0).values()
    assert all(at(0) <= revision.last_change <= at(100) for revision in revisions)
