"""Publish the copies of topics as messages to other controllers."""

from collections.abc import Callable, Mapping

from almondspindle.controllers.view.messages import Publication, RoutesChanged
from almondspindle.controllers.view.publications import PUBLICATION_BUILDERS
from almondspindle.controllers.view.topic_copy import TopicCopy
from almondspindle.core.events import VIEW_CHANGED
from almondspindle.core.inventory import Record, Topic
from almondspindle.core.logs import emit
from almondspindle.core.routes import RouteTable


class ViewPublisher:
    """Build messages from copies of topics, and publish them with `publish`.

    `route_table` is the one with the highest version so far; None before the first.
    """

    def __init__(self, publish: Callable[[Publication], None]) -> None:
        self.route_table: RouteTable | None = None
        self._publish = publish

    def publish_topic(self, topic: Topic, copy: TopicCopy, source: str) -> None:
        """Log the change of `copy`, received from `source`, and publish its records."""
        emit(
            VIEW_CHANGED,
            topic=topic,
            revision=copy.revision.number,
            era=copy.revision.era,
            changed=copy.last_change.number,
            source=source,
            records=len(copy.records),
        )
        publication = self._build_publication(topic, copy.records)
        if publication is not None:
            self._publish(publication)

    def _build_publication(self, topic: Topic, records: Mapping[str, Record]) -> Publication | None:
        if topic is Topic.ROUTES:
            return self._update_route_table(records)
        return PUBLICATION_BUILDERS[topic](records)

    def _update_route_table(self, records: Mapping[str, Record]) -> RoutesChanged | None:
        tables = [r.value for r in records.values() if isinstance(r.value, RouteTable)]
        newest = max(tables, key=lambda table: table.version, default=None)
        if newest is None or (self.route_table and newest.version <= self.route_table.version):
            return None
        self.route_table = newest
        return RoutesChanged(newest)
