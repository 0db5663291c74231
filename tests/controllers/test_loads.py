"""Tests of the load polls of owned targets, on schedule and on request."""

import asyncio

from almondspindle.adapters.target.load import HttpLoadReportClient, parse_report
from almondspindle.controllers.admission.messages import LoadPollFailed, LoadReported
from almondspindle.controllers.loads.messages import PollSoon, PollTargets
from almondspindle.controllers.loads.task import LoadsController
from almondspindle.core.clock import SystemClock
from almondspindle.core.load import OwnedTarget
from almondspindle.core.roster import Target
from almondspindle.utils.tasks import TaskSet
from tests.standins.caller import wait_until
from tests.standins.engine import Engine
from tests.standins.ports import free_port


async def check_polling() -> None:
    engine = Engine("e", age_s=60.0)
    engine.start()
    results: list = []
    tasks = TaskSet()
    loads = LoadsController(SystemClock(), tasks, HttpLoadReportClient(), 3600.0, results.append)
    tasks.start("loads", loads.run())
    targets = [
        OwnedTarget(Target("up", "llm", "z", engine.address), answers_polls=True),
        OwnedTarget(Target("down", "llm", "z", f"127.0.0.1:{free_port()}"), answers_polls=True),
        OwnedTarget(Target("plain", "app", "z", engine.address), answers_polls=False),
    ]
    loads.send(PollTargets(tuple(targets)))
    await wait_for_results(results, 2)
    by_name = {msg.target: msg for msg in results[:2]}
    assert isinstance(by_name["up"], LoadReported)
    assert by_name["up"].report.boot_id == engine.state.boot_id
    assert by_name["up"].report.uptime_s >= 60.0
    assert by_name["down"] == LoadPollFailed("down")
    loads.send(PollSoon("up"))
    loads.send(PollSoon("plain"))

    async def polled_again() -> bool:
        names = [msg.target for msg in results]
        return names.count("up") == 2 and names.count("down") >= 3

    await wait_until(polled_again, "no poll on request, or after a failure")
    loads.send(PollTargets(()))

    async def only_controller_left() -> bool:
        return len(tasks._tasks) == 1

    await wait_until(only_controller_left, "pollers are still running")
    await tasks.cancel_all()
    await engine.stop()


async def wait_for_results(results: list, count: int) -> None:
    async def has_enough() -> bool:
        return len(results) >= count

    await wait_until(has_enough, f"{count} polls")


def test_polling():
    asyncio.run(check_polling())


VALID_REPORT = b'{"boot_id": "a", "uptime_s": 1.5, "in_flight": 2, "cached_prefixes": 3, "more": 1}'
INVALID_REPORTS = [
    b"",
    b"[]",
    VALID_REPORT.replace(b'"a"', b'""'),
    VALID_REPORT.replace(b"1.5", b"-1"),
    VALID_REPORT.replace(b"1.5", b"NaN"),
    VALID_REPORT.replace(b": 2", b": -2"),
    VALID_REPORT.replace(b'"in_flight"', b'"flights"'),
]


def test_reports_are_validated():
    assert parse_report(VALID_REPORT).ok.in_flight == 2
    assert all(parse_report(body).is_error() for body in INVALID_REPORTS)
