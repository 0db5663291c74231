"""Delete the store objects of claims whose keys are past every retention window."""

import asyncio

from almondspindle.adapters.platform.base import Platform, StoreError
from almondspindle.controllers.targets.directory import DirectoryController
from almondspindle.controllers.targets.messages import GetRoster
from almondspindle.core.clock import Clock
from almondspindle.core.events import CLAIMS_DELETED, STORE_FAILED
from almondspindle.core.identifiers import HostName
from almondspindle.core.logs import emit
from almondspindle.core.outcomes import Result
from almondspindle.decisions.claim_keys import (
    BUCKET_S,
    MAX_RETENTION_S,
    MAX_SKEW_S,
    SHARDS,
    bucket_prefix,
    is_deletable,
    shard_hosts,
)

SWEEP_INTERVAL_S = 600.0
# Number of expired buckets that a sweep covers in each shard. If all hosts are stopped for longer
# than that, the objects of older buckets are never deleted.
SWEPT_BUCKETS = 24


class ClaimsCleaner:
    """Sweep the expired buckets of the shards that this host owns, at a fixed interval."""

    def __init__(
        self, platform: Platform, directory: DirectoryController, host: HostName, clock: Clock
    ) -> None:
        self._platform = platform
        self._directory = directory
        self._host = host
        self._clock = clock

    async def run(self) -> None:
        """Sweep at each interval until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            await self.sweep(self._clock.wall())

    async def sweep(self, wall_now: float) -> None:
        """Delete the objects that have expired at `wall_now` in the shards that this host owns.

        Cover the latest `SWEPT_BUCKETS` expired buckets. `wall_now` is in seconds since the Unix
        epoch.
        """
        roster = await self._directory.request(GetRoster())
        newest = int((wall_now - MAX_RETENTION_S - 2 * MAX_SKEW_S) // BUCKET_S)
        for shard in range(SHARDS):
            hosts = shard_hosts(shard, roster.hosts.values())
            if not hosts or hosts[0].name != self._host:
                continue
            for bucket in range(newest - SWEPT_BUCKETS, newest + 1):
                if is_deletable(bucket, wall_now):
                    await self._delete_bucket(shard, bucket)

    async def _delete_bucket(self, shard: int, bucket: int) -> None:
        found = await self._platform.list_names(bucket_prefix(shard, bucket))
        if found.is_error():
            _log_failure("list", found.error)
            return
        for name, version in found.ok.items():
            _log_result(await self._platform.delete(name, version))
        if found.ok:
            emit(CLAIMS_DELETED, shard=shard, objects=len(found.ok))


def _log_result(result: Result[None, StoreError]) -> None:
    if result.is_error():
        _log_failure("delete", result.error)


def _log_failure(call: str, error: StoreError) -> None:
    emit(STORE_FAILED, call=call, reason=error.message)
