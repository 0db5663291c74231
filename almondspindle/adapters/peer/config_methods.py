"""The configuration methods that a router serves."""

from almondspindle.adapters.peer.base import ACK_CONFIG, GET_CONFIG, GET_STATUS, PUSH_CONFIG
from almondspindle.adapters.peer.server import PeerServer
from almondspindle.controllers.configuration.dissemination import DisseminationController
from almondspindle.controllers.configuration.exchange import ConfigReceiver
from almondspindle.controllers.configuration.messages import (
    EntryAcked,
    EntrySubscribed,
    EntryUnsubscribed,
    GetConfigSince,
    GetHostStatus,
)
from almondspindle.controllers.targets.directory import DirectoryController
from almondspindle.controllers.targets.messages import GetRoster
from almondspindle.core.config_messages import (
    ConfigAck,
    ConfigResponse,
    ConfigVersionNotice,
    GetConfigRequest,
    HostStatus,
    StatusRequest,
)
from almondspindle.core.identifiers import HostName


class ConfigMethods:
    """Serve the configuration methods to peers, entries and operators' commands."""

    def __init__(
        self,
        dissemination: DisseminationController,
        directory: DirectoryController,
        receiver: ConfigReceiver,
    ) -> None:
        self._dissemination = dissemination
        self._directory = directory
        self._receiver = receiver

    def register(self, server: PeerServer) -> None:
        """Add the methods to `server`."""
        server.add_method(GET_CONFIG, self.get_config)
        server.add_method(PUSH_CONFIG, self._receiver.handle_push)
        server.add_method(GET_STATUS, self.get_status)
        server.add_method(ACK_CONFIG, self.ack_config)
        server.set_subscription_listener(self.record_subscription)

    async def get_config(self, req: GetConfigRequest) -> ConfigResponse:
        """Return the update from the requester's version to the version in force."""
        return await self._dissemination.request(GetConfigSince(req.have, req.nonce))

    async def get_status(self, req: StatusRequest) -> HostStatus:
        """Return the versions in force on this host and its entries."""
        status = await self._dissemination.request(GetHostStatus())
        # When the directory responds, it has applied the reported version, too: its messages are
        # processed in order.
        await self._directory.request(GetRoster())
        return status

    async def ack_config(self, ack: ConfigAck) -> ConfigVersionNotice:
        """Record the version that an entry has in force; return this host's version."""
        self._dissemination.send(EntryAcked(ack.subscriber, ack.version))
        status = await self._dissemination.request(GetHostStatus())
        return ConfigVersionNotice(status.host, status.version)

    def record_subscription(self, subscriber: HostName, subscribed: bool) -> None:
        """Record that an entry has subscribed, or unsubscribed if `subscribed` is False."""
        self._dissemination.send(
            EntrySubscribed(subscriber) if subscribed else EntryUnsubscribed(subscriber)
        )
