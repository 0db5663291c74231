"""The controller that holds the configuration in force and never reverts to a lower version."""

from functools import singledispatchmethod
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.configuration.messages import (
    ApplyDelta,
    ConfigListener,
    ConfigReceived,
    DeltaOutcome,
    FindService,
    FindTeam,
    GetConfig,
    SubscribeConfig,
)
from almondspindle.core.clock import Clock
from almondspindle.core.config import ConfigSet, Service, Team
from almondspindle.core.events import CONFIG_APPLIED, CONFIG_IGNORED
from almondspindle.core.logs import emit
from almondspindle.core.outcomes import Ok, Outcome, RefusalCode, refused
from almondspindle.decisions.configuration.delta import apply_delta, is_newer


class ConfigurationController(Controller):
    """Own the configuration in force, its subscribers and an index of teams by token digest."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._config = ConfigSet()
        self._teams_by_token: dict[str, Team] = {}
        self._listeners: list[ConfigListener] = []

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message from the `messages` module."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: ConfigReceived, now: float) -> None:
        if is_newer(msg.config, self._config):
            self._put_in_force(msg.config)
        elif msg.config.version < self._config.version:
            emit(CONFIG_IGNORED, version=msg.config.version, in_force=self._config.version)

    @handle.register
    def _(self, msg: ApplyDelta, now: float) -> DeltaOutcome:
        if msg.delta.version <= self._config.version:
            return DeltaOutcome.OLD
        config = apply_delta(self._config, msg.delta)
        if config is None:
            return DeltaOutcome.GAP
        self._put_in_force(config)
        return DeltaOutcome.APPLIED

    @handle.register
    def _(self, msg: SubscribeConfig, now: float) -> None:
        self._listeners.append(msg.listener)
        msg.listener(self._config)

    @handle.register
    def _(self, msg: GetConfig, now: float) -> ConfigSet:
        return self._config

    @handle.register
    def _(self, msg: FindTeam, now: float) -> Outcome[Team]:
        if self._config.version == 0:
            return refused(RefusalCode.NOT_READY, "no configuration has been read yet")
        team = self._teams_by_token.get(msg.token_sha256)
        if team is None:
            return refused(RefusalCode.UNAUTHENTICATED, "no team has this bearer token")
        return Ok(team)

    @handle.register
    def _(self, msg: FindService, now: float) -> Outcome[Service]:
        service = self._config.services.get(msg.service)
        if service is None:
            known = ", ".join(sorted(self._config.services)) or "none"
            return refused(
                RefusalCode.UNKNOWN_SERVICE,
                f"no service is called {msg.service!r}; known services: {known}",
            )
        team = self._config.teams.get(msg.team)
        if team is None or (team.services and msg.service not in team.services):
            return refused(
                RefusalCode.FORBIDDEN, f"team {msg.team!r} may not use service {msg.service!r}"
            )
        return Ok(service)

    def _put_in_force(self, config: ConfigSet) -> None:
        self._config = config
        self._teams_by_token = {team.token_sha256: team for team in config.teams.values()}
        emit(CONFIG_APPLIED, version=config.version)
        for listener in self._listeners:
            listener(config)
