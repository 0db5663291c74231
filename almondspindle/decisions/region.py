"""Which availability zones an entry may send requests to."""

from almondspindle.core.config import ConfigSet
from almondspindle.core.identifiers import ZoneName


def is_same_region(config: ConfigSet, own: ZoneName | None, zone: ZoneName) -> bool:
    """Return whether requests may go from availability zone `own` to `zone`.

    They may if both are in the same region, or if the region of either is unknown.
    """
    own_zone = config.zones.get(own) if own is not None else None
    other_zone = config.zones.get(zone)
    return own_zone is None or other_zone is None or own_zone.region == other_zone.region
