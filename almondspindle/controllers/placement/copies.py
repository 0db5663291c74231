"""From where a target copies the prompt of a request."""

from collections.abc import Iterable, Sequence

from almondspindle.controllers.placement.targets import Known
from almondspindle.core.identifiers import ServiceName, TargetName
from almondspindle.decisions.prompt_holders import PromptHolderIndex, copy_source, serves_until


class CopySources:
    """The targets that hold prompts, those included that have left and still serve."""

    def __init__(self) -> None:
        self._holders = PromptHolderIndex()
        self._departed: dict[TargetName, tuple[Known, float]] = {}

    def note(self, key: str, target: TargetName, now: float) -> None:
        """Note that `target` has read the prompt `key`."""
        self._holders.add(key, target, now)

    def restarted(self, target: TargetName) -> None:
        """Note that `target` holds nothing any more."""
        self._holders.remove_target(target)
        self._departed.pop(target, None)

    def departed(self, known: Known, drain_s: float, now: float) -> None:
        """Note that a target has left the list. `drain_s` is how long it serves after that.

        One that had said before that it would leave is gone.
        """
        if known.record.is_leaving:
            return
        until = serves_until(known.answered_at, known.trust.failures, drain_s, now)
        if until is not None:
            self._departed[known.record.name] = (known, until)

    def still_serving(self, service: ServiceName, now: float) -> list[Known]:
        """Return the targets of `service` that have left and still serve."""
        self._departed = {
            name: (known, until) for name, (known, until) in self._departed.items() if now < until
        }
        return [known for known, _ in self._departed.values() if known.record.service == service]

    def source(
        self,
        key: str,
        chosen: TargetName,
        order: Sequence[TargetName],
        holding: Iterable[Known],
        now: float,
    ) -> str | None:
        """Return the address to copy the prompt `key` from, or None if `chosen` holds it.

        `holding` are the targets in `order`, which is that in which requests try them.
        """
        sound = {known.record.name: known for known in holding if not known.trust.failures}
        name = copy_source(chosen, self._holders.holders(key, now), order, sound)
        return sound[name].record.address if name is not None else None
