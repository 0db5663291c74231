"""What a node serves to operators at its metrics address."""

import math
from collections.abc import Mapping

import msgspec

from almondspindle.adapters.exchange.internal_server import Reply, Responder
from almondspindle.controllers.rollouts.messages import DescribeRollouts
from almondspindle.controllers.rollouts.task import RolloutsController
from almondspindle.controllers.view.copy_log import describe_copies
from almondspindle.controllers.view.messages import GetRevisions, TopicRevision
from almondspindle.controllers.view.task import ViewController
from almondspindle.core.identifiers import HostName
from almondspindle.core.inventory import Topic
from almondspindle.core.metrics import COPY_AGE, COPY_ERA, COPY_REVISION
from almondspindle.core.registry import MetricRegistry

METRICS_PATH = "/metrics"
ROLLOUTS_PATH = "/rollouts"
COPIES_PATH = "/copies"
HTTP_OK = 200


class OperatorPages:
    """Serve the metrics, and describe the roll-outs and the copies of the store's records."""

    def __init__(
        self,
        host: HostName,
        view: ViewController,
        rollouts: RolloutsController,
        metrics: MetricRegistry,
    ) -> None:
        self._host = host
        self._view = view
        self._rollouts = rollouts
        self._metrics = metrics

    def responders(self) -> Mapping[str, Responder]:
        """Return the functions that respond to requests, by path."""
        return {
            METRICS_PATH: self._serve_metrics,
            ROLLOUTS_PATH: self._serve_rollouts,
            COPIES_PATH: self._serve_copies,
        }

    async def _serve_rollouts(self, rest: str) -> Reply:
        rollouts = await self._rollouts.request(DescribeRollouts())
        return _json(rollouts)

    async def _serve_copies(self, rest: str) -> Reply:
        copies = describe_copies(await self._view.request(GetRevisions()))
        return _json({"host": self._host, "copies": copies})

    async def _serve_metrics(self, rest: str) -> Reply:
        self._set_gauges(await self._view.request(GetRevisions()))
        return Reply(HTTP_OK, self._metrics.render_prometheus().encode())

    def _set_gauges(self, copies: Mapping[Topic, TopicRevision]) -> None:
        named = {str(topic): copy for topic, copy in copies.items()}
        ages_s = {name: copy.age_s for name, copy in named.items() if math.isfinite(copy.age_s)}
        self._metrics.set_by_topic(COPY_AGE, ages_s)
        self._metrics.set_by_topic(COPY_ERA, {n: copy.current.era for n, copy in named.items()})
        self._metrics.set_by_topic(
            COPY_REVISION, {n: copy.current.number for n, copy in named.items()}
        )


def _json(content: object) -> Reply:
    return Reply(HTTP_OK, msgspec.json.encode(content), "application/json")
