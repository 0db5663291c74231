"""Show the copies of the store's records that hosts of the users' platform hold."""

import asyncio
import json
from collections import Counter
from typing import Annotated, ClassVar

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from msgspec import Meta, Struct
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from almondspindle.language.replies import ExitCode

COPIES_PATH = "/copies"
TIMEOUT_S = 5.0


class CopyModel(Struct):
    """A host's copy of a topic. `age_s` is None if the store has never confirmed it."""

    era: int
    revision: int
    changed_era: int
    changed: int
    era_for_s: float
    records: int
    retained: int
    age_s: Annotated[float, Meta(ge=0)] | None = None


class HostModel(Struct):
    """The copies of a host by topic, or why it gave none."""

    host: str
    copies: dict[str, CopyModel] = {}
    failure: str = ""


class CopiesCommand(Command):
    """Show which hosts have caught up with the store, and since when."""

    name = "copies"
    description = "Show the era, revision and age of the copies that hosts hold of each topic."
    arguments: ClassVar[list[Argument]] = [
        argument("addresses", "The metrics addresses of hosts, as IP:PORT.", multiple=True)
    ]
    options: ClassVar[list[Option]] = [
        option("output", "o", "Format of the output: text or json.", flag=False, default="text")
    ]

    def handle(self) -> int:
        """Print the copies and return the exit code."""
        hosts = asyncio.run(_fetch_all(self.argument("addresses")))
        if self.option("output") == "json":
            self.line(json.dumps(msgspec.to_builtins(hosts), indent=2))
        else:
            for line in format_copies(hosts):
                self.line(line)
        return ExitCode.UNAVAILABLE if any(host.failure for host in hosts) else ExitCode.DONE


async def _fetch_all(addresses: list[str]) -> list[HostModel]:
    return await asyncio.gather(*(_fetch(address) for address in addresses))


async def _fetch(address: str) -> HostModel:
    try:
        url = f"http://{address}{COPIES_PATH}"
        response = await AsyncHTTPClient().fetch(url, request_timeout=TIMEOUT_S)
        return msgspec.json.decode(response.body, type=HostModel)
    except (OSError, HTTPClientError, ValueError) as exc:
        return HostModel(address, failure=str(exc))


def format_copies(hosts: list[HostModel]) -> list[str]:
    """Return a line for each host and topic, with what is behind the other hosts, and a sum."""
    newest: dict[str, tuple[int, int]] = {}
    for host in hosts:
        for topic, copy in host.copies.items():
            position = (copy.changed_era, copy.changed)
            newest[topic] = max(newest.get(topic, position), position)
    newest_era = max((copy.era for host in hosts for copy in host.copies.values()), default=0)
    lines, states = [], Counter[str]()
    for host in hosts:
        if host.failure:
            lines.append(f"{host.host}: no copies: {host.failure}")
            states["unknown"] += 1
            continue
        behind = {
            topic: _lag(copy, newest_era, newest[topic])
            for topic, copy in host.copies.items()
            if _lag(copy, newest_era, newest[topic])
        }
        states["behind" if behind else "caught up"] += 1
        lines += [
            f"{host.host} {topic}: {_format_copy(copy)}{behind.get(topic, '')}"
            for topic, copy in host.copies.items()
        ]
    return [*lines, ", ".join(f"{count} {state}" for state, count in sorted(states.items()))]


def _lag(copy: CopyModel, era: int, changed: tuple[int, int]) -> str:
    if copy.era < era and copy.revision:
        return f" - behind: the store is in era {era}"
    if (copy.era, copy.revision) < changed:
        return f" - behind: another host has the change of revision {changed[1]}"
    return ""


def _format_copy(copy: CopyModel) -> str:
    age = "never confirmed" if copy.age_s is None else f"confirmed {copy.age_s:.1f} s ago"
    kept = f", {copy.retained} of them missing from the store" if copy.retained else ""
    return (
        f"era {copy.era} for {copy.era_for_s:.1f} s, revision {copy.revision},"
        f" {copy.records} records{kept}, {age}"
    )
