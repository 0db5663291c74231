"""Find targets from which another target can copy the prompt of a request."""

from collections.abc import Iterable, Sequence

from almondspindle.controllers.placement.targets import TrackedTarget
from almondspindle.core.identifiers import ServiceName, TargetName
from almondspindle.decisions.prompt_holders import PromptHolderIndex, copy_source, serves_until


class CopySources:
    """Track the targets that have prompts in memory.

    These include targets that are no longer listed but still serve until their drain time ends.
    """

    def __init__(self) -> None:
        self._holders = PromptHolderIndex()
        self._unlisted: dict[TargetName, tuple[TrackedTarget, float]] = {}

    def add_holder(self, key: str, target: TargetName, now: float) -> None:
        """Record that `target` has the prompt `key` in memory."""
        self._holders.add(key, target, now)

    def remove_target(self, target: TargetName) -> None:
        """Remove a target that has no prompt in memory, since it restarted or was newly listed."""
        self._holders.remove_target(target)
        self._unlisted.pop(target, None)

    def retain_unlisted(self, target: TrackedTarget, drain_s: float, now: float) -> None:
        """Keep a target that was removed from the list as a source while it still serves.

        It serves for `drain_s` seconds more. A target that had announced that it was leaving has
        already stopped when it is removed from the list, so it is not kept.
        """
        if target.record.is_leaving:
            return
        until = serves_until(target.last_response_at, target.ejection.failures, drain_s, now)
        if until is not None:
            self._unlisted[target.record.name] = (target, until)

    def still_serving(self, service: ServiceName, now: float) -> list[TrackedTarget]:
        """Return the targets of `service` that are no longer listed but still serve."""
        self._unlisted = {
            name: (target, until) for name, (target, until) in self._unlisted.items() if now < until
        }
        return [target for target, _ in self._unlisted.values() if target.record.service == service]

    def source_address(
        self,
        key: str,
        destination: TargetName,
        ranked: Sequence[TargetName],
        sources: Iterable[TrackedTarget],
        now: float,
    ) -> str | None:
        """Return the address from which `destination` can copy the prompt `key`.

        Return None if `destination` already has the prompt, or no healthy source is left. `ranked`
        has the names of `sources` in the order in which requests with this prompt try them.
        """
        healthy = {
            target.record.name: target
            for target in sources
            if not target.ejection.failures and now < target.copies_until
        }
        name = copy_source(destination, self._holders.holders(key, now), ranked, healthy)
        return healthy[name].record.address if name is not None else None
