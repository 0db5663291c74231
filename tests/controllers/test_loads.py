"""Pollers run for owned targets that report, and poll at once when asked."""

import asyncio

from almondspindle.adapters.target.load import HttpLoadLink, parse_report
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
    heard: list = []
    tasks = TaskSet()
    loads = LoadsController(SystemClock(), tasks, HttpLoadLink(), 3600.0, heard.append)
    tasks.start("loads", loads.run())
    targets = [
        OwnedTarget(Target("up", "llm", "z", engine.address), answers_polls=True),
        OwnedTarget(Target("down", "llm", "z", f"127.0.0.1:{free_port()}"), answers_polls=True),
        OwnedTarget(Target("plain", "app", "z", engine.address), answers_polls=False),
    ]
    loads.send(PollTargets(tuple(targets)))
    await until_heard(heard, 2)
    by_name = {msg.target: msg for msg in heard[:2]}
    assert isinstance(by_name["up"], LoadReported)
    assert by_name["up"].report.boot_id == engine.state.boot_id
    assert by_name["up"].report.uptime_s >= 60.0
    assert by_name["down"] == LoadPollFailed("down")
    loads.send(PollSoon("up"))
    loads.send(PollSoon("plain"))

    async def asked_again() -> bool:
        names = [msg.target for msg in heard]
        return names.count("up") == 2 and names.count("down") >= 3

    await wait_until(asked_again, "no poll when asked, or after a miss")
    loads.send(PollTargets(()))

    async def only_controller_left() -> bool:
        return len(tasks._tasks) == 1

    await wait_until(only_controller_left, "pollers still run")
    await tasks.cancel_all()
    await engine.stop()


async def until_heard(heard: list, count: int) -> None:
    async def enough() -> bool:
        return len(heard) >= count

    await wait_until(enough, f"{count} polls")


def test_polling():
    asyncio.run(check_polling())


GOOD = b'{"boot_id": "a", "uptime_s": 1.5, "in_flight": 2, "cached_prefixes": 3, "more": 1}'
BAD = [
    b"",
    b"[]",
    GOOD.replace(b'"a"', b'""'),
    GOOD.replace(b"1.5", b"-1"),
    GOOD.replace(b"1.5", b"NaN"),
    GOOD.replace(b": 2", b": -2"),
    GOOD.replace(b'"in_flight"', b'"flights"'),
]


def test_reports_are_validated():
    assert parse_report(GOOD).ok.in_flight == 2
    assert all(parse_report(body).is_error() for body in BAD)
