"""Which targets hold a prompt in memory, and from where another one copies it.

Copying a prompt between targets costs a fraction of reading it again. A copy from a target that
holds nothing of the prompt costs next to nothing, so a likely holder is named whenever the chosen
target is not known to hold the prompt.
"""

from collections import OrderedDict
from collections.abc import Collection, Sequence

from almondspindle.core.identifiers import TargetName

MAX_PROMPTS = 8192  # about 1 MB; the deployments have some hundred shared prompts
HOLDER_TTL_S = 20.0  # engines evict what was not used for long
MAX_RESPONSE_AGE_S = (
    2.0  # a target that died has been silent for three heartbeats when it is removed
)


class PromptHolderIndex:
    """The targets that answered requests with each shared prompt, as far as this host knows."""

    def __init__(self) -> None:
        self._holders: OrderedDict[str, dict[TargetName, float]] = OrderedDict()

    def add(self, key: str, target: TargetName, now: float) -> None:
        """Note that `target` has read the prompt `key`."""
        self._holders.setdefault(key, {})[target] = now
        self._holders.move_to_end(key)
        while len(self._holders) > MAX_PROMPTS:
            self._holders.popitem(last=False)

    def remove_target(self, target: TargetName) -> None:
        """Note that `target` holds nothing any more."""
        for targets in self._holders.values():
            targets.pop(target, None)

    def holders(self, key: str, now: float) -> list[TargetName]:
        """Return the targets that hold the prompt `key`, the latest one first."""
        held = self._holders.get(key, {})
        fresh = [(at, name) for name, at in held.items() if now - at <= HOLDER_TTL_S]
        return [name for _, name in sorted(fresh, reverse=True)]


def copy_source(
    destination: TargetName,
    holders: Sequence[TargetName],
    ranked: Sequence[TargetName],
    healthy: Collection[TargetName],
) -> TargetName | None:
    """Return the target to copy a prompt from, or None if `chosen` holds it.

    `ranked` are the targets in the order in which requests with the prompt try them: where this
    host knows no holder, the first one is the likeliest. Only targets in `sound` are asked.
    """
    if destination in holders:
        return None
    likely = (*holders, *ranked)
    return next((name for name in likely if name != destination and name in healthy), None)


def serves_until(
    last_response_at: float, failures: int, drain_s: float, now: float
) -> float | None:
    """Return until when a target that is removed now may be asked for prompts, if at all.

    A target that stops as planned serves for `drain_s` more seconds. One that has not answered
    since `LAST_ANSWER_S`, or has failed `failures` times since, may have died.
    """
    if failures or now - last_response_at > MAX_RESPONSE_AGE_S:
        return None
    return now + drain_s
