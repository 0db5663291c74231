"""The history of a run as callers and replicas saw it, and the check of the guarantees."""

from collections import Counter
from dataclasses import dataclass, field, replace

from soak.timed_rules import Arrival, FleetRecord

# Requests this soon after an unplanned fault are exempt, as its end may still disturb them.
AFTER_EFFECT_S = 3.0
PAUSE_GRACE_S = 0.5  # after which a host keeps a pause
MAX_IN_PAUSE = 2  # requests
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})  # guarantee that the request does not run
DENIED_STATUSES = frozenset({400, 401, 403, 404, 413, 431})
REPEATABLE_KINDS = frozenset({"safe", "resumable"})
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request of a caller and the expected body of its response.

    `sent_at` is in seconds since the start of the run.
    """

    request_id: str
    kind: str  # "unsafe", "safe", "stream" or "resumable"
    sent_at: float
    body: bytes


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """What a caller received for a request.

    `status` is 0 if the connection ended before a response. `received_at` is in seconds since the
    start of the run.
    """

    request_id: str
    status: int
    received_at: float
    body: bytes = b""
    is_complete: bool = False
    has_stamp: bool = False
    echoed_id: str = ""


@dataclass(frozen=True, slots=True)
class ReplicaRequest:
    """A request that a replica received, and whether the replica executed it.

    `arrived_at` is in seconds since the start of the run.
    """

    request_id: str
    replica: str
    expected_replica: str
    tenant: str
    has_api_key: bool
    is_executed: bool
    arrived_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Announcement:
    """What a replica told a host at `told_at`: to send at most `allowed` requests in a time.

    That time lasts from `begin` to `end`, all in seconds since the start of the run.
    """

    rule: str
    replica: str
    host: str
    told_at: float
    begin: float
    end: float
    allowed: int


@dataclass
class RunHistory:
    """The requests, responses and disturbances of one run."""

    sent_requests: dict[str, SentRequest] = field(default_factory=dict)
    responses: list[ReceivedResponse] = field(default_factory=list)
    replica_requests: list[ReplicaRequest] = field(default_factory=list)
    disturbances: list[tuple[float, float]] = field(default_factory=list)
    announcements: list[Announcement] = field(default_factory=list)
    host_events: list[tuple[float, float]] = field(default_factory=list)  # stops, kills, silences
    failed_resumes: Counter[str] = field(default_factory=Counter)
    truncated_ids: set[str] = field(default_factory=set)  # requests whose response was cut short
    newest_served: dict[tuple[int, int], int] = field(default_factory=dict)
    findings: list[str] = field(default_factory=list)
    fleet: FleetRecord = field(default_factory=FleetRecord)
    checked: Counter[str] = field(default_factory=Counter)  # requests, by the timed rules
    cold_per_s: float = 0.0

    def record_failed_resume(self, request_id: str) -> None:
        """Record that a replica answered the rest of a stream with an error.

        After the second such error the stream can't be whole.
        """
        self.failed_resumes[request_id] += 1
        if self.failed_resumes[request_id] > 1:
            self.truncated_ids.add(request_id)

    def record_served_version(self, host: int, lifetime: int, version: int) -> None:
        """Record that a host served a request that only configuration `version` routes.

        A version older than one that the same process served before is a violation.
        """
        newest = self.newest_served.get((host, lifetime), 0)
        if version < newest:
            self.findings.append(
                f"CONFIG: host {host} went back from version {newest} to {version}"
            )
        self.newest_served[host, lifetime] = max(newest, version)

    def end_announcements(self, replica: str, at: float) -> None:
        """End what `replica` told hosts at the time `at`."""
        self.announcements = [
            replace(told, end=min(told.end, at)) if told.replica == replica else told
            for told in self.announcements
        ]

    def violations(self) -> list[str]:
        """Return a line for each violation of a guarantee."""
        return [
            *self.findings,
            *self._check_executions(),
            *self._check_replica_requests(),
            *self._check_responses(),
            *self._check_announcements(),
            *self.fleet.check(self._arrivals(), self.cold_per_s, self.checked),
        ]

    def _arrivals(self) -> list[Arrival]:
        """Return the requests of callers that reached the replica they were for."""
        return [
            Arrival(
                host_of(each.request_id),
                each.replica,
                self.sent_requests[each.request_id].sent_at,
                each.arrived_at,
            )
            for each in self.replica_requests
            if each.request_id in self.sent_requests and each.replica == each.expected_replica
        ]

    def _check_executions(self) -> list[str]:
        runs = Counter(each.request_id for each in self.replica_requests if each.is_executed)
        run_once_ids = {
            each.request_id
            for each in self.sent_requests.values()
            if each.kind not in REPEATABLE_KINDS
        }
        violations = [
            f"TWICE: {request_id} ran {runs[request_id]} times"
            for request_id in sorted(run_once_ids)
            if runs[request_id] > 1
        ]
        for response in self.responses:
            if (
                response.status in NOT_RUN_STATUSES
                and response.request_id in run_once_ids
                and runs[response.request_id]
            ):
                violations.append(
                    f"REFUSED: {response.request_id} ran in spite of status {response.status}"
                )
        return violations

    def _check_replica_requests(self) -> list[str]:
        violations = []
        for request in self.replica_requests:
            if request.request_id not in self.sent_requests:
                violations.append(f"UNASKED: no caller sent {request.request_id}")
            if request.has_api_key or request.tenant != "team-1":
                violations.append(
                    f"UNASKED: {request.request_id} arrived with tenant {request.tenant!r}, "
                    f"API key: {request.has_api_key}"
                )
            if request.is_executed and request.expected_replica != request.replica:
                violations.append(
                    f"ROUTE: {request.request_id} for {request.expected_replica} "
                    f"ran at {request.replica}"
                )
        return violations

    def _check_responses(self) -> list[str]:
        violations = []
        forwarded_ids = {each.request_id for each in self.replica_requests} - self.truncated_ids
        for response in self.responses:
            sent = self.sent_requests[response.request_id]
            if response.status == HTTP_OK and response.is_complete and response.body != sent.body:
                violations.append(
                    f"MIXED: {response.request_id} got the body {response.body[:60]!r}"
                )
            if response.status == HTTP_OK and not response.has_stamp:
                violations.append(
                    f"MIXED: {response.request_id} got a success without a response stamp"
                )
            if response.status and response.echoed_id != response.request_id:
                violations.append(
                    f"MIXED: {response.request_id} got the response to {response.echoed_id}"
                )
            if response.status in DENIED_STATUSES:
                violations.append(f"DENIED: {response.request_id} got {response.status}")
            is_lost = not response.is_complete and response.request_id in forwarded_ids
            if is_lost and self.is_undisturbed(sent.sent_at, response.received_at):
                violations.append(
                    f"LOST: {response.request_id} of {sent.sent_at:.2f} s got no complete response"
                )
        return violations

    def _check_announcements(self) -> list[str]:
        violations = []
        for told in self.announcements:
            later = [
                request.request_id
                for request in self.replica_requests
                if request.replica == request.expected_replica == told.replica
                and host_of(request.request_id) == told.host
                and told.begin < request.arrived_at < told.end
                and not self._is_excused(told, request.arrived_at)
            ]
            if len(later) > told.allowed:
                violations.append(
                    f"{told.rule}: {told.replica} got {len(later)} requests from host {told.host} "
                    f"after {told.told_at:.2f} s, first {later[0]}"
                )
        return violations

    def _is_excused(self, told: Announcement, until: float) -> bool:
        """Return whether a stop, a freeze or a fault came between the announcement and `until`."""
        if not self.is_undisturbed(told.told_at, until):
            return True
        return any(until >= begin and told.told_at <= end for begin, end in self.host_events)

    def is_undisturbed(self, since: float, until: float) -> bool:
        """Return whether no unplanned fault may have disturbed the time from `since` to `until`."""
        return all(
            until < begin or since > end + AFTER_EFFECT_S for begin, end in self.disturbances
        )


def host_of(request_id: str) -> str:
    """Return the number of the host that got the request from its caller."""
    return request_id.partition("-")[0][1:]
