"""Short names for revisions of the store."""

from almondspindle.core.inventory import Revision


def at(number: int, era: int = 0) -> Revision:
    """Return the revision `number` of `era`."""
    return Revision(era, number)
