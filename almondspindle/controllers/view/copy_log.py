"""Describe this host's copies of the platform's records, for operators."""

import asyncio
import math
from collections.abc import Mapping
from typing import Any

from almondspindle.controllers.view.messages import GetRevisions, TopicRevision
from almondspindle.controllers.view.task import ViewController
from almondspindle.core.events import COPIES
from almondspindle.core.inventory import Topic
from almondspindle.core.logs import emit

COPY_LOG_INTERVAL_S = 2.0  # the time in which a change of the configuration must be in force


def describe_copies(copies: Mapping[Topic, TopicRevision]) -> dict[str, dict[str, Any]]:
    """Return the position of each topic's copy by topic, in JSON types. Times are in seconds.

    The age of a copy that the store has never confirmed is None.
    """
    return {
        topic: {
            "era": copy.current.era,
            "revision": copy.current.number,
            "changed_era": copy.last_change.era,
            "changed": copy.last_change.number,
            "age_s": round(copy.age_s, 2) if math.isfinite(copy.age_s) else None,
            "era_for_s": round(copy.era_for_s, 2),
            "records": copy.records,
            "retained": copy.retained,
        }
        for topic, copy in copies.items()
    }


class CopyLog:
    """Log the positions of the copies regularly.

    With the lines of a request, they tell whether the host knew of a change when it decided.
    """

    def __init__(self, view: ViewController) -> None:
        self._view = view

    async def run(self) -> None:
        """Write a line every `COPY_LOG_INTERVAL_S` seconds until cancelled."""
        while True:
            await asyncio.sleep(COPY_LOG_INTERVAL_S)
            emit(COPIES, **describe_copies(await self._view.request(GetRevisions())))
