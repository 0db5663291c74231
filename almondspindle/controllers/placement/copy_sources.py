"""From where a target copies the prompt of a request."""

from collections.abc import Iterable, Sequence

from almondspindle.controllers.placement.targets import TrackedTarget
from almondspindle.core.identifiers import ServiceName, TargetName
from almondspindle.decisions.prompt_holders import PromptHolderIndex, copy_source, serves_until


class CopySources:
    """The targets that hold prompts, those included that have left and still serve."""

    def __init__(self) -> None:
        self._holders = PromptHolderIndex()
        self._unlisted: dict[TargetName, tuple[TrackedTarget, float]] = {}

    def add_holder(self, key: str, target: TargetName, now: float) -> None:
        """Note that `target` has read the prompt `key`."""
        self._holders.add(key, target, now)

    def remove_target(self, target: TargetName) -> None:
        """Note that `target` holds nothing any more."""
        self._holders.remove_target(target)
        self._unlisted.pop(target, None)

    def retain_unlisted(self, known: TrackedTarget, drain_s: float, now: float) -> None:
        """Note that a target has left the list. `drain_s` is how long it serves after that.

        One that had said before that it would leave is gone.
        """
        if known.record.is_leaving:
            return
        until = serves_until(known.last_response_at, known.ejection.failures, drain_s, now)
        if until is not None:
            self._unlisted[known.record.name] = (known, until)

    def still_serving(self, service: ServiceName, now: float) -> list[TrackedTarget]:
        """Return the targets of `service` that have left and still serve."""
        self._unlisted = {
            name: (known, until) for name, (known, until) in self._unlisted.items() if now < until
        }
        return [known for known, _ in self._unlisted.values() if known.record.service == service]

    def source_address(
        self,
        key: str,
        chosen: TargetName,
        order: Sequence[TargetName],
        holding: Iterable[TrackedTarget],
        now: float,
    ) -> str | None:
        """Return the address to copy the prompt `key` from, or None if `chosen` holds it.

        `holding` are the targets in `order`, which is that in which requests try them.
        """
        sound = {known.record.name: known for known in holding if not known.ejection.failures}
        name = copy_source(chosen, self._holders.holders(key, now), order, sound)
        return sound[name].record.address if name is not None else None
