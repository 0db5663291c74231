"""What a run consists of: its hosts, their availability zones and callers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Layout:
    """The zone of each host, as letters. The last host starts in the run if `last_joins` is set.

    `cold_per_s` is the rate that cold replicas tolerate, in requests a second, 0 for no limit.
    `others_writes` counts what other users of the store write in the seconds that it loses.
    """

    zones: str
    callers_per_host: int
    last_joins: bool = False
    cold_per_s: int = 0
    others_writes: int = 0

    @property
    def zone_names(self) -> list[str]:
        """Return the zones in which replicas run."""
        return sorted(set(self.zones))


ONE_ZONE = Layout("aaa", callers_per_host=4)
# One host is alone in its zone, as where the incident of issue 59 was seen.
FOUR_ZONES = Layout("aabbcdb", callers_per_host=3, last_joins=True, cold_per_s=1, others_writes=100)
LAYOUTS = {"one": ONE_ZONE, "four": FOUR_ZONES}
