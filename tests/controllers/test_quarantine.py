"""What crashes targets is kept from them by all hosts, and nothing else."""

import random

import pytest

from almondspindle.controllers.exchange.runners import REPORT_INTERVAL_S
from almondspindle.controllers.quarantine.messages import CheckRequest, RequestAttemptEnded
from almondspindle.core.placements import AttemptEnd, AttemptReport
from almondspindle.decisions.request_quarantine import LIMITS, TRIAL_INTERVAL_S
from tests.standins.simulated_fleet import SimulatedFleet, SimulatedHost

FIRST, SUBJECT, FATAL = "first", "subject", "fatal"
STABLE_WINDOW_S = 4.0
MAX_LATE_ARRIVALS = 3
CRASHED = AttemptReport(AttemptEnd.CONNECTION_BROKEN, 200, target_is_down=True)
ANSWERED = AttemptReport(AttemptEnd.ANSWERED, 200, started=True, wrote_body=True)
CONTENT, OTHER_CONTENT = "req:0123456789abcdef", "req:fedcba9876543210"
PLAIN = "plain"


class PromptLoad:
    """Requests to a simulated fleet, and when those with the fatal part reached a target."""

    def __init__(self, count: int, zones: str, targets: int = 20) -> None:
        self.fleet = SimulatedFleet(count, zones)
        self.rng = random.Random(count)
        self.targets = targets
        self.numbers = iter(range(10**9))
        self.last_id = ""
        self.arrivals: list[float] = []
        self.fleet.run(2.0)

    def check(self, host: SimulatedHost, *parts: str) -> bool:
        return host.quarantine.handle(CheckRequest(frozenset(parts)), self.fleet.now).is_ok()

    def send(self, *parts: str) -> bool:
        """Send a request to a host, and return whether it was passed on to a target."""
        host = self.rng.choice([host for host in self.fleet.hosts if host.is_up])
        if not self.check(host, *parts):
            return False
        if FATAL in parts:
            self.arrivals.append(self.fleet.now)
        self.end(host, parts, CRASHED if FATAL in parts else ANSWERED)
        return True

    def end(
        self,
        host: SimulatedHost,
        parts,
        report: AttemptReport,
        target: int = -1,
        after_s: float = 0.1,
        service: str = "",
        is_retry: bool = False,
    ) -> None:
        address = f"10.9.0.{self.rng.randrange(self.targets) if target < 0 else target}:1"
        now = self.fleet.now
        if not is_retry:
            self.last_id = f"r-{next(self.numbers)}"
        ended = RequestAttemptEnded(
            self.last_id, frozenset(parts), address, now - after_s, report, service
        )
        host.quarantine.handle(ended, now)

    def play(self, seconds: float, fatal_per_s: float, sound_per_s: float = 20.0) -> None:
        """Play requests with the fatal part, and sound ones with the other parts."""
        for _ in range(round(seconds / REPORT_INTERVAL_S)):
            for rate, parts in (
                (fatal_per_s, (FIRST, SUBJECT, FATAL)),
                (sound_per_s, (FIRST, f"s{self.rng.randrange(9)}")),
                (sound_per_s / 20, (FIRST, SUBJECT)),
            ):
                count = int(rate * REPORT_INTERVAL_S + self.rng.random())
                for _ in range(count):
                    self.send(*parts)
            self.fleet.run(REPORT_INTERVAL_S)

    def play_others(self, seconds: float) -> None:
        """Let each host answer requests with parts that no other request has."""
        for _ in range(round(seconds / REPORT_INTERVAL_S)):
            for host in self.fleet.hosts:
                self.end(host, (f"only-{next(self.numbers)}",), ANSWERED)
            self.fleet.run(REPORT_INTERVAL_S)

    def late_arrivals(self) -> int:
        """Return how many requests reached targets too late after the fifth crash."""
        if len(self.arrivals) < 5:
            return 0
        return sum(at > self.arrivals[4] + STABLE_WINDOW_S for at in self.arrivals)


@pytest.mark.parametrize(
    ("count", "zones", "fatal_per_s", "seconds"),
    [(8, "abcd", 0.5, 24), (8, "abcd", 8.0, 12), (80, "abcd", 2.0, 12), (195, "abcdef", 8.0, 9)],
)
def test_all_hosts_refuse_a_part_that_crashes_targets(count, zones, fatal_per_s, seconds):
    load = PromptLoad(count, zones)
    load.play(seconds, fatal_per_s)
    assert len(load.arrivals) >= LIMITS[False].quarantine
    assert load.late_arrivals() <= MAX_LATE_ARRIVALS
    assert not any(load.check(host, FATAL) for host in load.fleet.hosts)
    assert all(load.check(host, FIRST, SUBJECT) for host in load.fleet.hosts)


def test_a_host_that_restarts_refuses_the_part_again():
    load = PromptLoad(80, "abcd")
    load.play(12.0, 2.0)
    load.fleet.hosts[40].restart()
    load.fleet.run(1.0)
    assert not load.check(load.fleet.hosts[40], FIRST, FATAL)


def test_parts_that_were_in_use_when_many_targets_failed_at_once_are_not_refused():
    load = PromptLoad(8, "abcd")
    load.play(2.0, 0.0)
    for number, host in enumerate(load.fleet.hosts):
        load.end(host, ("rare", "other"), CRASHED, target=number)
    load.fleet.run(2.0)
    assert all(load.check(host, "rare", "other") for host in load.fleet.hosts)


def test_a_sound_part_whose_requests_were_at_the_crashing_targets_is_not_refused():
    load = PromptLoad(8, "abcd")
    hosts = load.fleet.hosts
    load.end(hosts[7], ("popular",), ANSWERED)
    load.fleet.run(1.0)
    for number in range(5):
        load.end(hosts[number], ("popular", f"p{number}"), CRASHED, target=number)
        load.end(hosts[number + 1], (FIRST, FATAL), CRASHED, target=number)
        load.end(hosts[6], ("other",), ANSWERED)
        load.fleet.run(1.0)
        for host in hosts:
            load.end(host, ("other",), ANSWERED)
    assert not any(load.check(host, FIRST, FATAL) for host in hosts)
    assert all(load.check(host, "popular", "p9") for host in hosts)


def test_a_sound_request_at_a_crash_does_not_shift_the_suspicion_to_its_own_part():
    load = PromptLoad(8, "abcd")
    hosts = load.fleet.hosts
    for number in range(3):
        load.end(hosts[number], (SUBJECT, FATAL), CRASHED, target=number)
        if number == 2:
            load.end(hosts[5], (FIRST, SUBJECT), CRASHED, target=number)
        load.play_others(1.0)
    assert not any(load.check(host, SUBJECT, FATAL) for host in hosts)
    assert all(load.check(host, FIRST, SUBJECT) for host in hosts)


def test_a_crash_is_not_judged_by_a_later_one_that_other_hosts_have_not_reported_yet():
    load = PromptLoad(8, "abcd")
    hosts = load.fleet.hosts
    for number in range(2):
        load.end(hosts[0], (SUBJECT, FATAL), CRASHED, target=number)
        load.play_others(1.0 if number == 0 else REPORT_INTERVAL_S)
    load.end(hosts[0], ("only",), ANSWERED)
    load.end(hosts[0], (FIRST, SUBJECT), CRASHED, target=2, after_s=0.05)
    load.end(hosts[5], (SUBJECT, FATAL), CRASHED, target=2, after_s=0.05)
    load.play_others(2.0)
    assert not any(load.check(host, SUBJECT, FATAL) for host in hosts)
    assert all(load.check(host, FIRST, SUBJECT) for host in hosts)


def test_parts_are_not_refused_while_no_request_is_answered():
    load = PromptLoad(8, "abcd")
    for number in range(12):
        load.end(load.fleet.hosts[number % 8], ("rare", f"p{number}"), CRASHED, target=number)
        load.fleet.run(1.0)
    assert all(load.check(host, "rare") for host in load.fleet.hosts)


def test_the_crashes_of_one_target_do_not_count_against_a_part():
    load = PromptLoad(8, "abcd")
    for _ in range(6):
        load.end(load.fleet.hosts[0], ("rare",), CRASHED, target=3)
        load.play(1.0, 0.0)
    assert all(load.check(host, "rare") for host in load.fleet.hosts)


def test_parts_that_always_come_together_are_refused_together_until_one_is_answered():
    load = PromptLoad(8, "abcd")
    for number in range(4):
        load.end(load.fleet.hosts[number], ("a", "b"), CRASHED, target=number)
        load.play(1.0, 0.0)
    assert not any(load.check(host, "a", "b") for host in load.fleet.hosts)
    assert all(load.check(host, "a") for host in load.fleet.hosts)
    load.end(load.fleet.hosts[5], ("a",), ANSWERED)
    load.fleet.run(1.0)
    assert not any(load.check(host, "b") for host in load.fleet.hosts)
    assert all(load.check(host, "a", "c") for host in load.fleet.hosts)


def test_one_host_tries_a_part_after_a_long_time_and_its_answer_releases_the_part_everywhere():
    load = PromptLoad(8, "abcd")
    load.play(10.0, 2.0)
    load.fleet.run(TRIAL_INTERVAL_S)
    trying = [host for host in load.fleet.hosts if load.check(host, FATAL)]
    assert len(trying) == 1
    assert not any(load.check(host, FATAL) for host in load.fleet.hosts)
    load.end(trying[0], (FATAL,), ANSWERED)
    load.fleet.run(1.0)
    assert all(load.check(host, FATAL) for host in load.fleet.hosts)


def test_a_request_that_met_a_second_crash_of_its_part_is_not_sent_to_another_target():
    load = PromptLoad(8, "abcd")
    host = load.fleet.hosts[0]
    retry = CheckRequest(frozenset({FATAL}), is_retry=True)
    load.end(host, (FATAL,), CRASHED, target=1)
    assert host.quarantine.handle(retry, load.fleet.now).is_ok()
    load.play(1.0, 0.0)
    load.end(host, (FATAL,), CRASHED, target=2)
    assert host.quarantine.handle(retry, load.fleet.now).is_error()
    assert load.check(host, FATAL)


def test_the_third_crash_of_one_content_stops_it_at_once():
    load = PromptLoad(8, "abcd")
    hosts = load.fleet.hosts
    for number in range(3):
        load.end(hosts[number], (CONTENT,), CRASHED, target=number, service=PLAIN)
        if number < 2:
            load.fleet.run(2 * REPORT_INTERVAL_S)
            for host in hosts:
                load.end(host, (OTHER_CONTENT,), ANSWERED, service=PLAIN)
    assert not load.check(hosts[2], CONTENT)
    load.fleet.run(2 * REPORT_INTERVAL_S)
    assert not any(load.check(host, CONTENT) for host in hosts)


def test_the_crash_that_a_retry_met_counts_though_no_request_was_answered_before_it():
    load = PromptLoad(8, "abcd")
    hosts = load.fleet.hosts
    load.end(hosts[0], (CONTENT,), CRASHED, target=1, service=PLAIN)
    load.fleet.run(REPORT_INTERVAL_S)
    load.end(hosts[0], (CONTENT,), CRASHED, target=2, after_s=0.05, service=PLAIN, is_retry=True)
    load.fleet.run(2 * REPORT_INTERVAL_S)
    for host in hosts:
        load.end(host, (OTHER_CONTENT,), ANSWERED, service=PLAIN)
    load.end(hosts[1], (CONTENT,), CRASHED, target=3, service=PLAIN)
    load.fleet.run(2 * REPORT_INTERVAL_S)
    assert not any(load.check(host, CONTENT) for host in hosts)


def test_the_crashes_of_one_content_do_not_blame_the_parts_that_sound_prompts_share():
    load = PromptLoad(8, "abcd")
    load.play(2.0, 0.0)
    for number in range(3):
        load.end(load.fleet.hosts[number], (FIRST, SUBJECT, CONTENT), CRASHED, target=number)
        load.play(1.0, 0.0)
    hosts = load.fleet.hosts
    assert not any(load.check(host, FIRST, SUBJECT, CONTENT) for host in hosts)
    assert all(load.check(host, FIRST, SUBJECT, OTHER_CONTENT) for host in hosts)


def test_a_plain_service_that_is_down_is_not_blamed_on_contents_while_another_service_answers():
    load = PromptLoad(8, "abcd")
    for number in range(6):
        load.end(load.fleet.hosts[number], (CONTENT,), CRASHED, target=number, service=PLAIN)
        load.play(1.0, 0.0)
    assert all(load.check(host, CONTENT) for host in load.fleet.hosts)


@pytest.mark.parametrize(("status", "is_sound"), [(204, True), (404, True), (500, False)])
def test_a_response_of_the_target_clears_a_content_unless_it_is_a_server_error(status, is_sound):
    load = PromptLoad(8, "abcd")
    report = AttemptReport(AttemptEnd.ANSWERED, status)
    for number in range(3):
        load.end(load.fleet.hosts[number], (CONTENT,), CRASHED, target=number, service=PLAIN)
        load.end(load.fleet.hosts[5], (CONTENT,), report, target=9, service=PLAIN)
        load.fleet.run(0.5)
        for host in load.fleet.hosts:
            load.end(host, (OTHER_CONTENT,), ANSWERED, service=PLAIN)
        load.fleet.run(0.5)
    assert all(load.check(host, CONTENT) is is_sound for host in load.fleet.hosts)


def test_a_content_in_steady_use_is_not_refused_when_targets_crash_for_other_reasons():
    load = PromptLoad(8, "abcd")
    refused = 0
    for number in range(200):
        for host in load.fleet.hosts:
            refused += not load.check(host, CONTENT)
            load.end(host, (CONTENT,), ANSWERED, service=PLAIN)
        if number % 5 == 0:
            for host in load.fleet.hosts:
                load.end(host, (CONTENT,), CRASHED, target=number // 5, service=PLAIN)
        load.fleet.run(REPORT_INTERVAL_S)
    assert refused == 0


class PlainLoad(PromptLoad):
    """Sound plain requests to targets that crash by themselves, at regular times.

    A crash cuts a share of the requests that come at its time. Callers repeat such a request twice,
    each time at the next crash: the worst moment.
    """

    def __init__(self, contents: int, cut_share: float) -> None:
        super().__init__(8, "abcd")
        self.contents = [f"req:{number:016x}" for number in range(contents)]
        self.cut_share = cut_share
        self.asked = self.refused = 0

    def play_crashes(self, crashes: int, requests_between: int) -> None:
        repeats: list[tuple[str, int]] = []
        for number in range(crashes):
            self._ask_many(requests_between)
            self.fleet.run(3 * REPORT_INTERVAL_S)
            self._ask_many(requests_between)
            fresh = self.rng.choices(self.contents, k=requests_between // 4)
            due, repeats = repeats + [(content, 2) for content in fresh], []
            for content, left in due:
                is_cut = self.rng.random() < self.cut_share
                if self._ask(content, number % self.targets if is_cut else -1) and is_cut and left:
                    repeats.append((content, left - 1))

    def _ask_many(self, count: int) -> None:
        for content in self.rng.choices(self.contents, k=count):
            self._ask(content, -1)

    def _ask(self, content: str, crashed: int) -> bool:
        host = self.rng.choice(self.fleet.hosts)
        self.asked += 1
        if not self.check(host, content):
            self.refused += 1
            return False
        report = ANSWERED if crashed < 0 else CRASHED
        self.end(host, (content,), report, target=crashed, service=PLAIN)
        return True


@pytest.mark.parametrize("contents", [1, 20, 400, 10_000])
def test_few_sound_contents_are_refused_while_targets_crash_for_other_reasons(contents):
    load = PlainLoad(contents, cut_share=0.25)
    load.play_crashes(100, requests_between=20)
    assert load.refused <= 0.01 * load.asked
