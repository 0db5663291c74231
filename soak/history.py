"""The history of a run as callers and replicas saw it, and the check of the guarantees."""

from collections import Counter
from dataclasses import dataclass, field

SETTLE_S = (
    3.0  # requests this soon after an unplanned fault are exempt: its end may still disturb them
)
PROMISES = frozenset({408, 421, 429, 503})  # guarantee that the request does not run
DENIALS = frozenset({400, 401, 403, 404, 413, 431})
SUCCESS = 200


@dataclass(frozen=True, slots=True)
class Sent:
    """A request of a caller and the expected body of its response.

    `at` is in seconds since the start of the run.
    """

    request_id: str
    kind: str  # "unsafe", "safe" or "stream"
    at: float
    body: bytes


@dataclass(frozen=True, slots=True)
class Got:
    """What a caller received for a request.

    `status` is 0 if the connection ended before a response. `at` is in seconds since the start of
    the run.
    """

    request_id: str
    status: int
    at: float
    body: bytes = b""
    is_whole: bool = False
    is_stamped: bool = False
    echoed_id: str = ""


@dataclass(frozen=True, slots=True)
class Arrived:
    """A request that a replica received; `runs` says whether the replica executed it."""

    request_id: str
    replica: str
    expected_replica: str
    tenant: str
    has_key: bool
    runs: bool


@dataclass
class Ledger:
    """The requests, responses and disturbances of one run."""

    sent: dict[str, Sent] = field(default_factory=dict)
    got: list[Got] = field(default_factory=list)
    arrived: list[Arrived] = field(default_factory=list)
    disturbed: list[tuple[float, float]] = field(default_factory=list)
    broken_off: set[str] = field(default_factory=set)  # IDs of responses that a replica truncated
    served_probes: dict[tuple[int, int], int] = field(default_factory=dict)
    findings: list[str] = field(default_factory=list)

    def probe_served(self, host: int, lifetime: int, version: int) -> None:
        """Record that a host served a request that only configuration `version` routes.

        A version older than one that the same process served before is a violation.
        """
        newest = self.served_probes.get((host, lifetime), 0)
        if version < newest:
            self.findings.append(
                f"CONFIG: host {host} went back from version {newest} to {version}"
            )
        self.served_probes[host, lifetime] = max(newest, version)

    def broken(self) -> list[str]:
        """Return a line for each violation of a guarantee."""
        return [*self.findings, *self._runs(), *self._arrivals(), *self._answers()]

    def _runs(self) -> list[str]:
        runs = Counter(each.request_id for each in self.arrived if each.runs)
        run_once_ids = {each.request_id for each in self.sent.values() if each.kind != "safe"}
        violations = [
            f"TWICE: {request_id} ran {runs[request_id]} times"
            for request_id in sorted(run_once_ids)
            if runs[request_id] > 1
        ]
        for response in self.got:
            if (
                response.status in PROMISES
                and response.request_id in run_once_ids
                and runs[response.request_id]
            ):
                violations.append(
                    f"REFUSED: {response.request_id} ran in spite of status {response.status}"
                )
        return violations

    def _arrivals(self) -> list[str]:
        violations = []
        for request in self.arrived:
            if request.request_id not in self.sent:
                violations.append(f"UNASKED: no caller sent {request.request_id}")
            if request.has_key or request.tenant != "team-1":
                violations.append(
                    f"UNASKED: {request.request_id} arrived with tenant {request.tenant!r}, "
                    f"API key: {request.has_key}"
                )
            if request.runs and request.expected_replica != request.replica:
                violations.append(
                    f"ROUTE: {request.request_id} for {request.expected_replica} "
                    f"ran at {request.replica}"
                )
        return violations

    def _answers(self) -> list[str]:
        violations = []
        forwarded_ids = {each.request_id for each in self.arrived} - self.broken_off
        for response in self.got:
            sent = self.sent[response.request_id]
            if response.status == SUCCESS and response.is_whole and response.body != sent.body:
                violations.append(
                    f"MIXED: {response.request_id} got the body {response.body[:60]!r}"
                )
            if response.status == SUCCESS and not response.is_stamped:
                violations.append(
                    f"MIXED: {response.request_id} got a success without a response stamp"
                )
            if response.status and response.echoed_id != response.request_id:
                violations.append(
                    f"MIXED: {response.request_id} got the response to {response.echoed_id}"
                )
            if response.status in DENIALS:
                violations.append(f"DENIED: {response.request_id} got {response.status}")
            is_lost = not response.is_whole and response.request_id in forwarded_ids
            if is_lost and self.is_calm(sent.at, response.at):
                violations.append(
                    f"LOST: {response.request_id} of {sent.at:.2f} s got no complete response"
                )
        return violations

    def is_calm(self, since: float, until: float) -> bool:
        """Return whether no unplanned fault may have disturbed the time from `since` to `until`."""
        return all(until < begin or since > end + SETTLE_S for begin, end in self.disturbed)
