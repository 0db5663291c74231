"""The fleet as the operators' language sees it, from outside of all hosts."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from almondspindle.adapters.peer.operator_messages import (
    AdmissionRequest,
    AdmissionResponse,
    CandidateInfo,
    CandidatesRequest,
    CandidatesResponse,
    TargetReports,
)
from almondspindle.adapters.platform.base import Platform
from almondspindle.conf.operator import OperatorCfg
from almondspindle.controllers.configuration.manager import ConfigManager, DryRun
from almondspindle.core.changes import Change, HistoryEntry
from almondspindle.core.claims import ClaimDecision, ClaimReply, KeyScope, LookupRequest
from almondspindle.core.clock import Clock
from almondspindle.core.config import ConfigSet
from almondspindle.core.config_messages import HostStatus
from almondspindle.core.identifiers import ChatId, HostName, ServiceName, TeamName
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.core.roster import Host, Roster
from almondspindle.core.target_reports import TargetReport
from almondspindle.decisions.claim_keys import segment_of, shard_hosts
from almondspindle.decisions.claim_reports import report_key
from almondspindle.decisions.configuration.delta import describe_entry
from almondspindle.language.replies import (
    CandidateFate,
    ChangeAccepted,
    ChangeShown,
    ChatExplained,
    ExitCode,
    KeyExplained,
    LaggingHost,
    Problem,
)
from almondspindle.language.rows import Row
from almondspindle.language.statements import Source
from almondspindle.operations.identity import identify
from almondspindle.operations.listing import ROWS, FleetPicture
from almondspindle.operations.problems import problem_of

ASKED_AT_ONCE = 64  # hosts
PLATFORM_HINT = "check --platform; see docs/howto/store-is-down.md"


class HostLink(Protocol):
    """The way to routers. An error says why there was no answer."""

    async def status(self, address: str) -> HostStatus | None:
        """Return the versions in force on a host and its entries."""
        ...

    async def target_reports(self, address: str) -> Result[TargetReports, str]:
        """Return what a router knows of the targets that it owns."""
        ...

    async def candidates(
        self, address: str, req: CandidatesRequest
    ) -> Result[CandidatesResponse, str]:
        """Return the candidates of a chat, by one router's view."""
        ...

    async def admission(
        self, address: str, req: AdmissionRequest
    ) -> Result[AdmissionResponse, str]:
        """Return whether an owner would admit a chat."""
        ...

    async def lookup(self, address: str, request: LookupRequest) -> Result[ClaimReply, str]:
        """Return what a host reads of a key's claim record."""
        ...


@dataclass(frozen=True, slots=True)
class OperatedFleet:
    """Carry out statements on the platform's store and the listed hosts."""

    cfg: OperatorCfg
    platform: Platform
    link: HostLink
    operator: ConfigManager
    clock: Clock

    async def submit(
        self, changes: tuple[Change, ...], if_version: int | None
    ) -> Result[ChangeAccepted, Problem]:
        """Have `changes` accepted together, or say why not."""
        who = await self._who()
        if who.is_error():
            return Error(who.error)
        written = await self.operator.submit(changes, who.ok, if_version)
        if written.is_error():
            return Error(problem_of(written.error))
        return Ok(ChangeAccepted(written.ok.version, written.ok.changed))

    async def dry_run(self, changes: tuple[Change, ...]) -> Result[DryRun, Problem]:
        """Return what `changes` would do, and write nothing."""
        return (await self.operator.dry_run(changes)).map_error(problem_of)

    async def config(self) -> Result[ConfigSet, Problem]:
        """Return the stored configuration."""
        stored = await self.operator.read()
        return stored.map(lambda found: found.config).map_error(problem_of)

    async def history(self, count: int) -> Result[tuple[ChangeShown, ...], Problem]:
        """Return the latest `count` accepted changes, the latest one first."""
        found = await self.operator.history(count)
        return found.map(lambda entries: tuple(map(_shown, entries))).map_error(problem_of)

    async def restore(self) -> Result[ChangeAccepted, Problem]:
        """Write the configuration in force on the hosts back to the store."""
        who = await self._who()
        if who.is_error():
            return Error(who.error)
        written = await self.operator.restore(who.ok)
        return written.map(lambda ok: ChangeAccepted(ok.version, ok.changed)).map_error(problem_of)

    async def picture(self) -> Result[FleetPicture, Problem]:
        """Return the configuration, the host list and what hosts have in force."""
        read = await self._read()
        if read.is_error():
            return Error(read.error)
        picture, _ = await self._picture(Source.HOSTS, *read.ok)
        return Ok(picture)

    async def wait_in_force(self, version: int) -> tuple[LaggingHost, ...]:
        """Wait until `version` is in force on every live host; return those that were late."""
        rollout = await self.operator.wait(version, self.cfg.wait_bound_s)
        if rollout.is_error():
            return (LaggingHost("(all)", rollout.error.message),)
        return tuple(LaggingHost(lag.host.name, lag.reason) for lag in rollout.ok.lagging)

    async def rows(self, source: Source) -> Result[tuple[list[Row], tuple[str, ...]], Problem]:
        """Return the rows of `source`, and notes on what could not be asked."""
        read = await self._read()
        if read.is_error():
            return Error(read.error)
        config, roster = read.ok
        picture, notes = await self._picture(source, config, roster)
        return Ok((ROWS[source](picture), notes))

    async def explain_chat(self, chat_id: str, service: str) -> Result[ChatExplained, Problem]:
        """Return where a chat goes now."""
        roster = await self._roster()
        if roster.is_error():
            return Error(roster.error)
        req = CandidatesRequest(ServiceName(service), ChatId(chat_id))
        told = await self._first_answer(roster.ok.hosts.values(), req)
        if told.is_error():
            return Error(told.error)
        if not told.ok.candidates:
            return Error(Problem(ExitCode.FAILED, told.ok.why))
        fates = await asyncio.gather(*(self._fate(item, req) for item in told.ok.candidates))
        return Ok(ChatExplained(chat_id, service, told.ok.config_version, tuple(fates)))

    async def explain_key(self, key: str, service: str, team: str) -> Result[KeyExplained, Problem]:
        """Return what the claim record says of a key."""
        roster = await self._roster()
        if roster.is_error():
            return Error(roster.error)
        scope = KeyScope(TeamName(team), ServiceName(service), key)
        hosts = shard_hosts(segment_of(scope).shard, roster.ok.hosts.values())
        told = await self._look(hosts, scope)
        if told.is_error():
            return Error(told.error)
        report = report_key(key, told.ok.record, self.clock.wall())
        state, run_state = report.state.value, report.run_state.value
        return Ok(KeyExplained(key, state, run_state, report.lines))

    async def _look(self, hosts: Iterable[Host], scope: KeyScope) -> Result[ClaimReply, Problem]:
        problem = Problem(ExitCode.UNAVAILABLE, "the platform lists no host")
        for host in hosts:
            told = await self.link.lookup(host.address, LookupRequest(scope))
            if told.is_ok() and told.ok.decision is not ClaimDecision.UNAVAILABLE:
                return Ok(told.ok)
            reason = told.ok.reason if told.is_ok() else told.error
            problem = Problem(ExitCode.UNAVAILABLE, f"{host.name}: {reason}", PLATFORM_HINT)
        return Error(problem)

    async def _who(self) -> Result[str, Problem]:
        stored = await self.operator.read()
        if stored.is_error():
            return Error(problem_of(stored.error))
        token = self.cfg.token.get_secret_value() if self.cfg.token else None
        return identify(stored.ok.config, token)

    async def _read(self) -> Result[tuple[ConfigSet, Roster], Problem]:
        stored = await self.operator.read()
        if stored.is_error():
            return Error(problem_of(stored.error))
        roster = await self._roster()
        return roster.map(lambda found: (stored.ok.config, found))

    async def _roster(self) -> Result[Roster, Problem]:
        found = await self.platform.roster()
        return found.map_error(
            lambda error: Problem(
                ExitCode.UNAVAILABLE, f"the host list: {error.message}", PLATFORM_HINT
            )
        )

    async def _picture(
        self, source: Source, config: ConfigSet, roster: Roster
    ) -> tuple[FleetPicture, tuple[str, ...]]:
        hosts = list(roster.hosts.values())
        if source is Source.HOSTS:
            statuses = dict(await self._ask_all(hosts, self._status))
            notes = tuple(f"no answer from {n}" for n, found in statuses.items() if found is None)
            return FleetPicture(config, roster, statuses=statuses), notes
        if source is Source.TARGETS:
            answers = await self._ask_all(hosts, self._target_reports)
            reports: dict[Any, TargetReport] = {}
            for _, found in answers:
                reports |= {report.target: report for report in found or ()}
            notes = tuple(f"no answer from {name}" for name, found in answers if found is None)
            return FleetPicture(config, roster, reports=reports), notes
        return FleetPicture(config, roster), ()

    async def _ask_all(self, hosts: Iterable[Host], ask: Any) -> list[tuple[HostName, Any]]:
        gate = asyncio.Semaphore(ASKED_AT_ONCE)

        async def one(host: Host) -> tuple[HostName, Any]:
            async with gate:
                return host.name, await ask(host)

        return list(await asyncio.gather(*(one(host) for host in hosts)))

    async def _status(self, host: Host) -> HostStatus | None:
        return await self.link.status(host.address)

    async def _target_reports(self, host: Host) -> tuple[TargetReport, ...] | None:
        found = await self.link.target_reports(host.address)
        return found.ok.reports if found.is_ok() else None

    async def _first_answer(
        self, hosts: Iterable[Host], req: CandidatesRequest
    ) -> Result[CandidatesResponse, Problem]:
        problem = Problem(ExitCode.UNAVAILABLE, "the platform lists no host")
        for host in hosts:
            told = await self.link.candidates(host.address, req)
            if told.is_ok():
                return Ok(told.ok)
            problem = Problem(ExitCode.UNAVAILABLE, f"{host.name}: {told.error}")
        return Error(problem)

    async def _fate(self, item: CandidateInfo, req: CandidatesRequest) -> CandidateFate:
        ask = AdmissionRequest(item.target, req.service, req.chat_id)
        told = await self.link.admission(item.owner_address, ask)
        why = told.ok.why if told.is_ok() else f"its owner did not answer: {told.error}"
        return CandidateFate(item.target, item.zone, item.owner, why)


def _shown(entry: HistoryEntry) -> ChangeShown:
    lines = tuple(describe_entry(entry))
    return ChangeShown(entry.version, entry.at, entry.operator, entry.nonce, lines)
