"""Which targets lie in reach of an entry."""

from almondspindle.core.config import ConfigSet
from almondspindle.core.identifiers import ZoneName


def is_same_region(config: ConfigSet, own: ZoneName | None, zone: ZoneName) -> bool:
    """Return whether work may go from availability zone `own` to `zone`.

    Zones whose region is not known are in reach of all.
    """
    here = config.zones.get(own) if own is not None else None
    there = config.zones.get(zone)
    return here is None or there is None or here.region == there.region
