"""Which targets hold a prompt in memory, and from which one another target copies it.

Copying a prompt between targets costs a fraction of processing it again. A copy request to a
target that does not hold the prompt costs almost nothing. So a likely holder is named whenever
the selected target is not known to hold the prompt.
"""

from collections import OrderedDict
from collections.abc import Collection, Sequence

from almondspindle.core.identifiers import TargetName

MAX_PROMPTS = 8192  # about 1 MB; the deployments have a few hundred shared prompts
HOLDER_TTL_S = 20.0  # engines evict prompts that were not used for a while
# A dead target is removed after three missed heartbeats, so its last response is older than this.
MAX_RESPONSE_AGE_S = 2.0


class PromptHolderIndex:
    """The targets known to hold each shared prompt, the least recently added prompt first."""

    def __init__(self) -> None:
        self._holders: OrderedDict[str, dict[TargetName, float]] = OrderedDict()

    def add(self, key: str, target: TargetName, now: float) -> None:
        """Record that `target` has processed the prompt `key`."""
        self._holders.setdefault(key, {})[target] = now
        self._holders.move_to_end(key)
        while len(self._holders) > MAX_PROMPTS:
            self._holders.popitem(last=False)

    def remove_target(self, target: TargetName) -> None:
        """Record that `target` no longer holds any prompt."""
        for targets in self._holders.values():
            targets.pop(target, None)

    def holders(self, key: str, now: float) -> list[TargetName]:
        """Return the targets that hold the prompt `key`, the most recent one first."""
        held = self._holders.get(key, {})
        recent = [(at, name) for name, at in held.items() if now - at <= HOLDER_TTL_S]
        return [name for _, name in sorted(recent, reverse=True)]


def copy_source(
    destination: TargetName,
    holders: Sequence[TargetName],
    ranked: Sequence[TargetName],
    healthy: Collection[TargetName],
) -> TargetName | None:
    """Return the target to copy a prompt from, or None if there is none.

    No copy is needed if `destination` holds the prompt. `ranked` lists the targets in the order in
    which requests with the prompt try them. If this host knows no holder, the first one in it is
    the most likely holder. Only targets in `healthy` are returned.
    """
    if destination in holders:
        return None
    candidates = (*holders, *ranked)
    return next((name for name in candidates if name != destination and name in healthy), None)


def serves_until(
    last_response_at: float, failures: int, drain_s: float, now: float
) -> float | None:
    """Return until when a target that is removed now still serves prompt copies, or None.

    A target that shuts down gracefully serves for `drain_s` more seconds. A target may have died
    if its last response is older than `MAX_RESPONSE_AGE_S` or `failures` attempts failed since.
    """
    if failures or now - last_response_at > MAX_RESPONSE_AGE_S:
        return None
    return now + drain_s
