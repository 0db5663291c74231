"""Parts that crash targets at any point of a response are refused, and sound ones are not."""

from dataclasses import dataclass

import pytest

from almondspindle.controllers.exchange.runners import REPORT_INTERVAL_S
from almondspindle.controllers.quarantine.messages import CheckRequest, RequestAttemptEnded
from almondspindle.core.placements import AttemptEnd, AttemptReport
from tests.controllers.test_quarantine import (
    ANSWERED,
    FATAL,
    FIRST,
    MAX_LATE_ARRIVALS,
    STABLE_WINDOW_S,
    PromptLoad,
)
from tests.standins.simulated_fleet import SimulatedHost

TARGETS = 9
DOWN_S = 3.0
FIRST_EVENT_S = 0.3
STREAM_S = 3.0
STREAMS_PER_S = 40.0
ATTEMPTS = 2


@dataclass
class Stream:
    """A request at a target since `sent_at`, which crashes it at `crashes_at`."""

    host: SimulatedHost
    request_id: str
    parts: frozenset[str]
    target: int
    sent_at: float
    ends_at: float
    crashes_at: float | None = None
    attempts: int = 1


class StreamLoad(PromptLoad):
    """Long streams at few targets, each of which has about `TARGETS` / `STREAMS_PER_S` of them.

    Half of the sound requests have a document of their own, which the caller asks for again, also
    after a failure. A crash cuts all streams at the target, and each is resumed once elsewhere.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(8, "abcd", TARGETS)
        self.rng.seed(seed)
        self.streams: list[Stream] = []
        self.up_at = [0.0] * TARGETS
        self.asked = self.refused = 0
        self.crashes: list[float] = []  # by the fatal part

    def play_streams(
        self, seconds: float, fatal_every_s: float, crash_after_s: float, kill_every_s: float
    ) -> None:
        """Play streams, requests with the fatal part, and kills of one or three targets."""
        steps = round(seconds / REPORT_INTERVAL_S)
        for _ in range(steps):
            for _ in range(round(STREAMS_PER_S * REPORT_INTERVAL_S)):
                document = f"d{self.rng.randrange(9)}"
                if self.rng.random() < 0.5:
                    document = f"own{next(self.numbers)}"
                self.begin(frozenset({FIRST, document}))
            if fatal_every_s and self.rng.random() < REPORT_INTERVAL_S / fatal_every_s:
                self.begin(frozenset({FIRST, FATAL}), crash_after_s)
            if kill_every_s and self.rng.random() < REPORT_INTERVAL_S / kill_every_s:
                for target in self.rng.sample(range(TARGETS), self.rng.choice((1, 1, 3))):
                    self.crash(target)
            self.fleet.run(REPORT_INTERVAL_S)
            for stream in list(self.streams):
                self.advance(stream)

    def begin(self, parts: frozenset[str], crash_after_s: float | None = None) -> None:
        host = self.rng.choice(self.fleet.hosts)
        is_fatal = crash_after_s is not None
        self.asked += not is_fatal
        if not self.check(host, *parts):
            self.refused += not is_fatal
            return
        stream = Stream(host, f"s-{next(self.numbers)}", parts, 0, 0.0, 0.0)
        self.send_to_target(stream, crash_after_s)

    def send_to_target(self, stream: Stream, crash_after_s: float | None) -> None:
        now = self.fleet.now
        up = [target for target in range(TARGETS) if self.up_at[target] <= now]
        if not up:
            return
        stream.target, stream.sent_at = self.rng.choice(up), now
        stream.ends_at = now + FIRST_EVENT_S + STREAM_S * self.rng.random()
        if crash_after_s is not None:
            stream.crashes_at = now + crash_after_s
            self.arrivals.append(now)
        self.streams.append(stream)

    def advance(self, stream: Stream) -> None:
        if stream not in self.streams:  # a crash has cut it
            return
        now = self.fleet.now
        if stream.crashes_at is not None and now >= stream.crashes_at:
            self.crashes.append(now)
            self.crash(stream.target)
        elif stream.crashes_at is None and now >= stream.ends_at:
            self.streams.remove(stream)
            self.report(stream, ANSWERED)

    def crash(self, target: int) -> None:
        now = self.fleet.now
        self.up_at[target] = now + DOWN_S
        cut = [stream for stream in self.streams if stream.target == target]
        self.streams = [stream for stream in self.streams if stream.target != target]
        for stream in cut:
            has_begun = now - stream.sent_at >= FIRST_EVENT_S
            report = AttemptReport(
                AttemptEnd.CONNECTION_BROKEN,
                200,
                started=has_begun,
                wrote_body=has_begun,
                target_is_down=True,
            )
            self.report(stream, report)
            self.retry(stream)

    def retry(self, stream: Stream) -> None:
        is_fatal = FATAL in stream.parts
        crash_after_s = stream.crashes_at - stream.sent_at if is_fatal else None
        check = CheckRequest(stream.parts, is_retry=True)
        allowed = stream.host.quarantine.handle(check, self.fleet.now).is_ok()
        if allowed and stream.attempts < ATTEMPTS:
            stream.attempts += 1
            self.send_to_target(stream, crash_after_s)
        elif not is_fatal:
            self.begin(stream.parts)

    def report(self, stream: Stream, report: AttemptReport) -> None:
        ended = RequestAttemptEnded(
            stream.request_id,
            stream.parts,
            f"10.9.0.{stream.target}:1",
            stream.sent_at,
            report,
            "model",
        )
        stream.host.quarantine.handle(ended, self.fleet.now)

    def late_fatal_arrivals(self) -> int:
        fifth = self.crashes[min(4, len(self.crashes) - 1)]
        return sum(at > fifth + STABLE_WINDOW_S for at in self.arrivals)


# After the head, the first event, and many events.
@pytest.mark.parametrize("crash_after_s", [0.2, 0.4, 1.0])
@pytest.mark.parametrize("kill_every_s", [0.0, 5.0], ids=["alone", "among kills"])
def test_a_part_is_refused_wherever_in_a_response_it_crashes_targets(crash_after_s, kill_every_s):
    """Requests whose response had begun were never blamed for the crash of their target."""
    for seed in range(3):
        load = StreamLoad(seed)
        load.play_streams(5.0, 0.0, 0.0, kill_every_s)
        load.play_streams(30.0, 1.0, crash_after_s, kill_every_s)
        assert load.late_fatal_arrivals() <= MAX_LATE_ARRIVALS
        assert not any(load.check(host, FIRST, FATAL) for host in load.fleet.hosts)
        assert load.refused == 0


@pytest.mark.parametrize("kill_every_s", [1.5, 4.0])
def test_no_sound_part_is_refused_while_targets_with_many_streams_are_killed(kill_every_s):
    """A killed target cuts many streams, of which most had begun."""
    for seed in range(3):
        load = StreamLoad(seed)
        load.play_streams(40.0, 0.0, 0.0, kill_every_s)
        assert load.asked > 1000
        assert load.refused == 0
