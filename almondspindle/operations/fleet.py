"""Execute operators' statements by calls to the platform's store and to the hosts."""

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
from almondspindle.operations.identity import identify_operator
from almondspindle.operations.listing import ROW_BUILDERS, FleetSnapshot
from almondspindle.operations.problems import to_problem

MAX_CONCURRENT_REQUESTS = 64  # one per host
PLATFORM_HINT = "check --platform; see docs/howto/store-is-down.md"


class HostClient(Protocol):
    """Client of the routers. An error states why there was no response."""

    async def status(self, address: str) -> HostStatus | None:
        """Return the versions in force on a host and its entries, or None without a response."""
        ...

    async def target_reports(self, address: str) -> Result[TargetReports, str]:
        """Return a router's reports on the targets that it owns."""
        ...

    async def candidates(
        self, address: str, req: CandidatesRequest
    ) -> Result[CandidatesResponse, str]:
        """Return the candidate targets of a chat as one router sees them."""
        ...

    async def admission(
        self, address: str, req: AdmissionRequest
    ) -> Result[AdmissionResponse, str]:
        """Return whether the owner of a target would admit a chat now."""
        ...

    async def lookup(self, address: str, request: LookupRequest) -> Result[ClaimReply, str]:
        """Return the claim record of a key as a host reads it."""
        ...


@dataclass(frozen=True, slots=True)
class RemoteFleet:
    """A fleet that is reached through the platform's store and the routers of the listed hosts."""

    cfg: OperatorCfg
    platform: Platform
    host_client: HostClient
    config_manager: ConfigManager
    clock: Clock

    async def submit(
        self, changes: tuple[Change, ...], if_version: int | None
    ) -> Result[ChangeAccepted, Problem]:
        """Write `changes` as one update; return the version that contains them, or an error."""
        operator = await self._identify_operator()
        if operator.is_error():
            return Error(operator.error)
        written = await self.config_manager.submit(changes, operator.ok, if_version)
        if written.is_error():
            return Error(to_problem(written.error))
        return Ok(ChangeAccepted(written.ok.version, written.ok.changed))

    async def dry_run(self, changes: tuple[Change, ...]) -> Result[DryRun, Problem]:
        """Return the effect of `changes` without writing them."""
        return (await self.config_manager.dry_run(changes)).map_error(to_problem)

    async def read_config(self) -> Result[ConfigSet, Problem]:
        """Return the stored configuration."""
        stored = await self.config_manager.read()
        return stored.map(lambda item: item.config).map_error(to_problem)

    async def read_history(self, count: int) -> Result[tuple[ChangeShown, ...], Problem]:
        """Return the latest `count` accepted changes, newest first."""
        history = await self.config_manager.history(count)
        return history.map(lambda entries: tuple(map(_to_change_shown, entries))).map_error(
            to_problem
        )

    async def restore(self) -> Result[ChangeAccepted, Problem]:
        """Write the configuration in force on the hosts back to the store."""
        operator = await self._identify_operator()
        if operator.is_error():
            return Error(operator.error)
        written = await self.config_manager.restore(operator.ok)
        return written.map(lambda ok: ChangeAccepted(ok.version, ok.changed)).map_error(to_problem)

    async def read_snapshot(self) -> Result[FleetSnapshot, Problem]:
        """Return the configuration, the roster and the versions in force on the hosts."""
        stored = await self._read_config_and_roster()
        if stored.is_error():
            return Error(stored.error)
        snapshot, _ = await self._build_snapshot(Source.HOSTS, *stored.ok)
        return Ok(snapshot)

    async def wait_until_in_force(self, version: int) -> tuple[LaggingHost, ...]:
        """Wait until `version` is in force on every live host; return the hosts that lag."""
        rollout = await self.config_manager.wait(version, self.cfg.wait_bound_s)
        if rollout.is_error():
            return (LaggingHost("(all)", rollout.error.message),)
        return tuple(LaggingHost(lag.host.name, lag.reason) for lag in rollout.ok.lagging)

    async def list_rows(self, source: Source) -> Result[tuple[list[Row], tuple[str, ...]], Problem]:
        """Return the rows of `source`, and a note for each host that did not respond."""
        stored = await self._read_config_and_roster()
        if stored.is_error():
            return Error(stored.error)
        config, roster = stored.ok
        snapshot, notes = await self._build_snapshot(source, config, roster)
        return Ok((ROW_BUILDERS[source](snapshot), notes))

    async def explain_chat(self, chat_id: str, service: str) -> Result[ChatExplained, Problem]:
        """Return the candidate targets of a chat in order, and which of them would admit it."""
        roster = await self._read_roster()
        if roster.is_error():
            return Error(roster.error)
        req = CandidatesRequest(ServiceName(service), ChatId(chat_id))
        response = await self._query_candidates(roster.ok.hosts.values(), req)
        if response.is_error():
            return Error(response.error)
        if not response.ok.candidates:
            return Error(Problem(ExitCode.FAILED, response.ok.why))
        candidates = await asyncio.gather(
            *(self._query_admission(item, req) for item in response.ok.candidates)
        )
        return Ok(ChatExplained(chat_id, service, response.ok.config_version, tuple(candidates)))

    async def explain_key(self, key: str, service: str, team: str) -> Result[KeyExplained, Problem]:
        """Return the state of an idempotency key by its claim record."""
        roster = await self._read_roster()
        if roster.is_error():
            return Error(roster.error)
        scope = KeyScope(TeamName(team), ServiceName(service), key)
        hosts = shard_hosts(segment_of(scope).shard, roster.ok.hosts.values())
        reply = await self._lookup_key(hosts, scope)
        if reply.is_error():
            return Error(reply.error)
        report = report_key(key, reply.ok.record, self.clock.wall())
        state, run_state = report.state.value, report.run_state.value
        return Ok(KeyExplained(key, state, run_state, report.lines))

    async def _lookup_key(
        self, hosts: Iterable[Host], scope: KeyScope
    ) -> Result[ClaimReply, Problem]:
        problem = Problem(ExitCode.UNAVAILABLE, "the platform lists no host")
        for host in hosts:
            reply = await self.host_client.lookup(host.address, LookupRequest(scope))
            if reply.is_ok() and reply.ok.decision is not ClaimDecision.UNAVAILABLE:
                return Ok(reply.ok)
            reason = reply.ok.reason if reply.is_ok() else reply.error
            problem = Problem(ExitCode.UNAVAILABLE, f"{host.name}: {reason}", PLATFORM_HINT)
        return Error(problem)

    async def _identify_operator(self) -> Result[str, Problem]:
        stored = await self.config_manager.read()
        if stored.is_error():
            return Error(to_problem(stored.error))
        token = self.cfg.token.get_secret_value() if self.cfg.token else None
        return identify_operator(stored.ok.config, token)

    async def _read_config_and_roster(self) -> Result[tuple[ConfigSet, Roster], Problem]:
        stored = await self.config_manager.read()
        if stored.is_error():
            return Error(to_problem(stored.error))
        roster = await self._read_roster()
        return roster.map(lambda listed: (stored.ok.config, listed))

    async def _read_roster(self) -> Result[Roster, Problem]:
        roster = await self.platform.roster()
        return roster.map_error(
            lambda error: Problem(
                ExitCode.UNAVAILABLE, f"cannot read the host list: {error.message}", PLATFORM_HINT
            )
        )

    async def _build_snapshot(
        self, source: Source, config: ConfigSet, roster: Roster
    ) -> tuple[FleetSnapshot, tuple[str, ...]]:
        hosts = list(roster.hosts.values())
        if source is Source.HOSTS:
            statuses = dict(await self._query_hosts(hosts, self._query_status))
            notes = tuple(
                f"no response from {name}" for name, status in statuses.items() if status is None
            )
            return FleetSnapshot(config, roster, statuses=statuses), notes
        if source is Source.TARGETS:
            responses = await self._query_hosts(hosts, self._query_target_reports)
            reports: dict[Any, TargetReport] = {}
            for _, owned in responses:
                reports |= {report.target: report for report in owned or ()}
            notes = tuple(f"no response from {name}" for name, owned in responses if owned is None)
            return FleetSnapshot(config, roster, reports=reports), notes
        return FleetSnapshot(config, roster), ()

    async def _query_hosts(self, hosts: Iterable[Host], query: Any) -> list[tuple[HostName, Any]]:
        limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

        async def query_host(host: Host) -> tuple[HostName, Any]:
            async with limit:
                return host.name, await query(host)

        return list(await asyncio.gather(*(query_host(host) for host in hosts)))

    async def _query_status(self, host: Host) -> HostStatus | None:
        return await self.host_client.status(host.address)

    async def _query_target_reports(self, host: Host) -> tuple[TargetReport, ...] | None:
        response = await self.host_client.target_reports(host.address)
        return response.ok.reports if response.is_ok() else None

    async def _query_candidates(
        self, hosts: Iterable[Host], req: CandidatesRequest
    ) -> Result[CandidatesResponse, Problem]:
        problem = Problem(ExitCode.UNAVAILABLE, "the platform lists no host")
        for host in hosts:
            response = await self.host_client.candidates(host.address, req)
            if response.is_ok():
                return Ok(response.ok)
            problem = Problem(ExitCode.UNAVAILABLE, f"{host.name}: {response.error}")
        return Error(problem)

    async def _query_admission(self, item: CandidateInfo, req: CandidatesRequest) -> CandidateFate:
        admission = AdmissionRequest(item.target, req.service, req.chat_id)
        response = await self.host_client.admission(item.owner_address, admission)
        why = (
            response.ok.why if response.is_ok() else f"its owner did not respond: {response.error}"
        )
        return CandidateFate(item.target, item.zone, item.owner, why)


def _to_change_shown(entry: HistoryEntry) -> ChangeShown:
    lines = tuple(describe_entry(entry))
    return ChangeShown(entry.version, entry.at, entry.operator, entry.nonce, lines)
