"""One odd era in a response of the store must not outlive it.

Copies of the highest era replace all others, on every host, for as long as one of them runs.
"""

import asyncio

import pytest

from almondspindle.core.inventory import HistoryUnavailable, Topic
from almondspindle.platform.store import PlatformStore
from tests.standins.object_store import ObjectStore
from tests.standins.revisions import at

KNOWN_ERA = 3


def read_eras(eras: list[int]) -> list[int]:
    """Return the eras of the copies read from a store that states `eras`, the last one for good."""

    async def check() -> list[int]:
        async with ObjectStore(era=KNOWN_ERA) as store:
            await store.put("evacuations", "a", {})
            client = PlatformStore(store.address)
            assert (await client.read(Topic.ZONES)).ok.revision.era == KNOWN_ERA
            store.next_eras, store.era = eras[:-1], eras[-1]
            results = [await client.read(Topic.ZONES) for _ in range(3)]
            return [result.ok.revision.era for result in results]

    return asyncio.run(check())


@pytest.mark.parametrize("odd", [KNOWN_ERA + 2, 900_000, 10**17])
def test_an_era_that_a_single_response_states_is_not_believed(odd):
    assert read_eras([odd, KNOWN_ERA]) == [KNOWN_ERA] * 3


def test_an_era_that_several_responses_state_is_believed():
    assert read_eras([KNOWN_ERA + 4]) == [KNOWN_ERA + 4] * 3


def test_the_next_era_is_believed_at_once():
    assert read_eras([KNOWN_ERA + 1, KNOWN_ERA + 1]) == [KNOWN_ERA + 1] * 3


def test_a_store_that_states_another_era_each_time_is_an_error_and_no_endless_read():
    async def check() -> None:
        async with ObjectStore(era=KNOWN_ERA) as store:
            client = PlatformStore(store.address)
            assert (await client.read(Topic.ZONES)).is_ok()
            store.next_eras = list(range(100, 1000, 10))
            assert (await client.read(Topic.ZONES)).is_error()
            assert len(store.calls) < 10

    asyncio.run(check())


def test_a_watch_with_an_odd_era_is_followed_by_a_read():
    async def check() -> None:
        async with ObjectStore(era=KNOWN_ERA) as store:
            client = PlatformStore(store.address)
            revision = (await client.read(Topic.ZONES)).ok.revision
            store.next_eras = [900_000]
            changes = await client.watch(Topic.ZONES, revision, 0.01)
            assert changes.ok == HistoryUnavailable(Topic.ZONES)
            assert (await client.read(Topic.ZONES)).ok.revision == at(100, KNOWN_ERA)

    asyncio.run(check())
