"""Match a call to a route of the route table, and determine its team and service."""

from almondspindle.controllers.view.messages import GetRouteTable
from almondspindle.controllers.view.task import ViewController
from almondspindle.core.calls import Call
from almondspindle.core.outcomes import Error, Outcome, RefusalCode, refused
from almondspindle.core.routes import KeyOwner, Route
from almondspindle.decisions.route_matching import choose_service, match_api_key, match_route

NO_TABLE_RETRY_AFTER_S = 0.5


class MatchRoute:
    """Set the call's route, and the fields that follow from the route and the API key.

    The deadline is set to the route's `timeout_s` seconds from now if it is later than that.
    """

    def __init__(self, view: ViewController) -> None:
        self._view = view

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call with its route, team and service, or a refusal."""
        table = await self._view.request(GetRouteTable())
        if table is None:
            return refused(
                RefusalCode.NOT_READY,
                "no route table has been received yet",
                retry_after_s=NO_TABLE_RETRY_AFTER_S,
            )
        found = match_route(table, call.authority, call.path)
        if found.is_error():
            return Error(found.error)
        route = found.ok
        owner = match_api_key(table, route, call.bearer_token)
        return owner.map(lambda key_owner: _with_route(call, route, key_owner, now))


def _with_route(call: Call, route: Route, key_owner: KeyOwner | None, now: float) -> Call:
    priority = route.priority
    if key_owner is not None and key_owner.priority is not None:
        priority = key_owner.priority
    return call.copy_with(
        route=route,
        work=route.work,
        service=choose_service(route, call.request_id),
        team=key_owner.team if key_owner else None,
        priority=priority,
        deadline_at=min(call.deadline_at, now + route.timeout_s),
    )
