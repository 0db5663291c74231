"""The HTTP server of an entry."""

import socket
from collections.abc import Awaitable, Callable

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from almondspindle.adapters.http_front.handlers import (
    CHAT_PATH,
    ChatHandler,
    HandlerContext,
    HealthHandler,
    ReadyHandler,
    ServiceHandler,
    UnknownPathHandler,
)
from almondspindle.utils.addresses import split_address

# The handlers limit the size of bodies and respond with a reason. The server's own limit would
# close the connection without one, so it is set out of reach.
SERVER_MAX_BODY_BYTES = 1 << 40


def make_app(
    context: HandlerContext, not_ready_reason: Callable[[], Awaitable[str | None]]
) -> Application:
    """Return the tornado application.

    `not_ready_reason` returns None if the entry is ready, or the reason why it is not.
    """
    shared = {"context": context}
    return Application(
        [
            (r"/healthz", HealthHandler),
            (r"/readyz", ReadyHandler, {"context": context, "not_ready_reason": not_ready_reason}),
            (CHAT_PATH, ChatHandler, shared),
            (r"/services/(?P<name>[^/]+)/(?P<rest>.*)", ServiceHandler, shared),
            (r".*", UnknownPathHandler, shared),
        ],
        log_function=lambda handler: None,
    )


def listen(
    app: Application, address: str, max_header_bytes: int
) -> tuple[HTTPServer, list[socket.socket]]:
    """Serve `app` on `address` ("ip:port") and return the server and its sockets."""
    host, port = split_address(address)
    sockets = bind_sockets(port, host)
    server = HTTPServer(app, max_header_size=max_header_bytes, max_body_size=SERVER_MAX_BODY_BYTES)
    server.add_sockets(sockets)
    return server, sockets
