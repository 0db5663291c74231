"""The recent crashes of targets that a host knows of."""

import math
from collections import OrderedDict, deque
from collections.abc import Iterator

from almondspindle.core.crashes import Crash, TargetCrash
from almondspindle.core.identifiers import RequestId
from almondspindle.decisions.request_quarantine import CRASH_TTL_S, add_cut, is_same_crash

MAX_CRASHES = 64  # of targets
MAX_REQUESTS = 4096  # cut by them
# Each host passes on what it learns for this long; its reports reach all hosts of its zone in it.
NEWS_S = 1.5


class CrashTable:
    """The crashes of targets, with what the requests that they cut have in common.

    Each request that a crash cut is known by its id and target, and the first report of it counts,
    so reports may arrive by several ways and more than once.
    """

    def __init__(self) -> None:
        self._crashes: deque[TargetCrash] = deque()
        self._requests: OrderedDict[tuple[RequestId, str], None] = OrderedDict()
        self._news: deque[tuple[float, Crash]] = deque(maxlen=MAX_REQUESTS)
        self._last_crash_at: dict[str, float] = {}  # by part

    def __iter__(self) -> Iterator[TargetCrash]:
        return iter(self._crashes)

    def recent(self, now: float) -> list[TargetCrash]:
        """Return the crashes that are still evidence."""
        return [crash for crash in self if now - crash.crashed_at <= CRASH_TTL_S]

    def add(self, cut: Crash, now: float) -> TargetCrash | None:
        """Add a request that a crash cut, and return that crash, or None if it was known."""
        key = (cut.request_id, cut.address)
        if key in self._requests:
            return None
        self._requests[key] = None
        if len(self._requests) > MAX_REQUESTS:
            self._requests.popitem(last=False)
        self._news.append((now, cut))
        crash = next((crash for crash in self if is_same_crash(crash, cut)), None)
        if crash is None:
            self._drop_old(now)
            crash = TargetCrash(cut.address, cut.service, cut.crashed_at, cut.last_response_at)
            self._crashes.append(crash)
        add_cut(crash, cut)
        for part in cut.parts:
            self._last_crash_at[part] = max(self.last_crash_at(part), crash.crashed_at)
        return crash

    def _drop_old(self, now: float) -> None:
        self._crashes = deque(self.recent(now)[1 - MAX_CRASHES :])
        self._last_crash_at = {part: c.crashed_at for c in self for part in c.parts}

    def last_crash_at(self, part: str) -> float:
        """Return when the last crash cut a request with `part`, minus infinity if none did."""
        return self._last_crash_at.get(part, -math.inf)

    def news(self, now: float) -> list[Crash]:
        """Return the cut requests that this host has learned of within `NEWS_S` seconds."""
        while self._news and now - self._news[0][0] > NEWS_S:
            self._news.popleft()
        return [cut for _, cut in self._news]
