"""The controller that counts requests in flight at the targets this host owns."""

from collections import Counter
from functools import singledispatchmethod
from itertools import count
from typing import Any

from almondspindle.controllers.admission.messages import Admit, PolicyChanged, Release
from almondspindle.controllers.base import Controller
from almondspindle.core.clock import Clock
from almondspindle.core.config import ConfigSet, Policy
from almondspindle.core.identifiers import ServiceName, TargetName
from almondspindle.core.outcomes import Ok, Outcome, RefusalCode, refused
from almondspindle.decisions.admission import TargetLoad, has_room

RETRY_AFTER_S = 1.0


class AdmissionController(Controller):
    """Own the tickets: who is in flight where."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._config = ConfigSet()
        self._numbers = count(1)
        self._tickets: dict[int, TargetName] = {}
        self._in_flight: Counter[TargetName] = Counter()

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message; see the module of messages."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: PolicyChanged, now: float) -> None:
        self._config = msg.config

    @handle.register
    def _(self, msg: Admit, now: float) -> Outcome[int]:
        policy = self._policy(msg.service)
        load = TargetLoad(self._in_flight[msg.target], self._limit(msg.target, policy), 0.0)
        if not has_room(policy, load):
            return refused(
                RefusalCode.FULL,
                f"target {msg.target!r} is at its limit",
                retry_after_s=RETRY_AFTER_S,
            )
        ticket = next(self._numbers)
        self._tickets[ticket] = msg.target
        self._in_flight[msg.target] += 1
        return Ok(ticket)

    @handle.register
    def _(self, msg: Release, now: float) -> None:
        target = self._tickets.pop(msg.ticket)
        self._in_flight[target] -= 1

    def _policy(self, service: ServiceName) -> Policy:
        found = self._config.services.get(service)
        return found.policy if found else Policy()

    def _limit(self, target: TargetName, policy: Policy) -> int:
        override = self._config.targets.get(target)
        if override is not None and override.limit is not None:
            return override.limit
        return policy.target_limit
