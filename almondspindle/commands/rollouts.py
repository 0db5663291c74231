"""Show the progress of roll-outs, as a host of the users' platform knows it."""

import asyncio
import json
from typing import Annotated, ClassVar

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from msgspec import Meta, Struct
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from almondspindle.language.replies import ExitCode

ROLLOUTS_PATH = "/rollouts"
TIMEOUT_S = 5.0


class TestModel(Struct):
    """The test of one measure on one route, or on all routes if `route` is empty."""

    __test__ = False  # not a test class of pytest

    route: str
    measure: str
    responses: int
    bad: int
    rise: float


class RolloutModel(Struct):
    """A roll-out as a host describes it."""

    service: str
    version: str
    stage: str
    age_s: Annotated[float, Meta(ge=0)]
    duration_s: float
    requests: int
    exposed: int
    verdict: str
    responses: int
    state: str | None = None
    withdrawn: bool = False
    tests: tuple[TestModel, ...] = ()


class RolloutsCommand(Command):
    """Show the roll-outs that a host knows."""

    name = "rollouts"
    description = "Show the progress of roll-outs, with the evidence on each new version."
    arguments: ClassVar[list[Argument]] = [
        argument("address", "The metrics address of any host, as IP:PORT.")
    ]
    options: ClassVar[list[Option]] = [
        option("output", "o", "Format of the output: text or json.", flag=False, default="text")
    ]

    def handle(self) -> int:
        """Print the roll-outs and return the exit code."""
        try:
            rollouts = asyncio.run(_fetch(str(self.argument("address"))))
        except (OSError, HTTPClientError, ValueError) as exc:
            self.line_error(f"no roll-outs from {self.argument('address')}: {exc}")
            return ExitCode.UNAVAILABLE
        if self.option("output") == "json":
            self.line(json.dumps(msgspec.to_builtins(rollouts), indent=2))
            return ExitCode.DONE
        for line in format_rollouts(rollouts):
            self.line(line)
        return ExitCode.DONE


async def _fetch(address: str) -> list[RolloutModel]:
    url = f"http://{address}{ROLLOUTS_PATH}"
    response = await AsyncHTTPClient().fetch(url, request_timeout=TIMEOUT_S)
    return msgspec.json.decode(response.body, type=list[RolloutModel])


def format_rollouts(rollouts: list[RolloutModel]) -> list[str]:
    """Return the lines that describe `rollouts`."""
    if not rollouts:
        return ["no roll-outs"]
    lines = []
    for each in rollouts:
        stage = "withdrawn" if each.withdrawn else each.stage
        lines.append(
            f"{each.service} to {each.version}: {stage}, stored as {each.state or 'nothing'},"
            f" {each.age_s:.1f} of {each.duration_s:.1f} s"
        )
        lines.append(
            f"  this host: {each.exposed} of {each.requests} requests exposed;"
            f" all hosts: {each.responses} responses, verdict {each.verdict}"
        )
        lines += [
            f"  {test.route or 'all routes'}: {test.bad} of {test.responses} {test.measure},"
            f" rise {test.rise:.1f}"
            for test in each.tests
        ]
    return lines
