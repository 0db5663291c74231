"""The controller of the token buckets of all teams."""

from functools import singledispatchmethod
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.limits.messages import HostCountChanged, TakeToken
from almondspindle.controllers.targets.messages import ConfigChanged
from almondspindle.core.clock import Clock
from almondspindle.core.config import Team
from almondspindle.core.identifiers import TeamName
from almondspindle.core.outcomes import Ok, Outcome, RefusalCode, refused
from almondspindle.decisions.rate_limit import TokenBucket, rate_per_entry, take_token


class LimitsController(Controller):
    """Own one token bucket per team, created at the team's first request."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._teams: dict[TeamName, Team] = {}
        self._hosts = 1
        self._buckets: dict[TeamName, TokenBucket] = {}

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message from `limits.messages`, or a change of the configuration."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: ConfigChanged, now: float) -> None:
        self._teams = msg.config.teams
        self._buckets = {name: b for name, b in self._buckets.items() if name in self._teams}

    @handle.register
    def _(self, msg: HostCountChanged, now: float) -> None:
        self._hosts = msg.hosts

    @handle.register
    def _(self, msg: TakeToken, now: float) -> Outcome[None]:
        team = self._teams.get(msg.team)
        if team is None:
            return Ok(None)
        rate = rate_per_entry(team.requests_per_s, self._hosts)
        taken = take_token(self._buckets.get(msg.team), rate, now)
        self._buckets[msg.team] = taken.bucket
        if taken.wait_s is None:
            return Ok(None)
        return refused(
            RefusalCode.RATE_LIMITED,
            f"team {msg.team!r} exceeds its rate of {team.requests_per_s:g} requests/s",
            retry_after_s=taken.wait_s,
        )
