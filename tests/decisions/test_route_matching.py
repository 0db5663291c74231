"""Matching of requests to routes, API key owners and services."""

from collections import Counter

from almondspindle.core.calls import WorkKind
from almondspindle.core.identifiers import ServiceName, TeamName
from almondspindle.core.outcomes import RefusalCode
from almondspindle.core.routes import KeyOwner, Route, RouteTable, ServiceShare
from almondspindle.decisions.route_matching import choose_service, match_api_key, match_route


def route(prefix: str, *shares: tuple[str, float], is_public: bool = False) -> Route:
    service_shares = tuple(ServiceShare(ServiceName(name), weight) for name, weight in shares)
    return Route(prefix, "h", prefix, WorkKind.READ, service_shares, 1.0, 0.1, is_public=is_public)


LONG, SHORT = route("/a/b/", ("s", 1)), route("/a/", ("s", 1))
TABLE = RouteTable(1, {"h": (LONG, SHORT)}, key_owners={"k": KeyOwner(TeamName("t"))})


def test_the_longest_prefix_wins_and_the_query_is_ignored():
    assert match_route(TABLE, "H", "/a/b/c").ok is LONG
    assert match_route(TABLE, "h", "/a/x?/a/b/").ok is SHORT


def test_a_request_without_a_matching_route_is_refused():
    for authority, path in (("h", "/b/"), ("h", "/a"), ("other", "/a/")):
        assert match_route(TABLE, authority, path).error.code is RefusalCode.UNKNOWN_PATH


def test_an_api_key_is_required_unless_the_route_is_public_or_no_keys_exist():
    assert match_api_key(TABLE, SHORT, "k").ok.team == "t"
    for key in (None, "", "other"):
        assert match_api_key(TABLE, SHORT, key).error.code is RefusalCode.UNAUTHENTICATED
    assert match_api_key(TABLE, route("/p/", ("s", 1), is_public=True), None).ok is None
    assert match_api_key(RouteTable(1), SHORT, None).ok is None


def test_services_get_requests_by_weight_and_a_request_keeps_its_service():
    split = route("/s/", ("one", 90), ("two", 10))
    counts = Counter(choose_service(split, f"r-{number}") for number in range(4000))
    assert 0.07 < counts[ServiceName("two")] / 4000 < 0.13
    assert choose_service(split, "r-1") == choose_service(split, "r-1")
