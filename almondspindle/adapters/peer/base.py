"""Names of peer methods, and the channel options that clients and servers share."""

SERVICE = "almondspindle.Peer"
RELAY = "Relay"
SUBSCRIBE = "Subscribe"
HOST_TABLE = "HostTable"
GET_CONFIG = "GetConfig"
PUSH_CONFIG = "PushConfig"
GET_STATUS = "GetStatus"
ACK_CONFIG = "AckConfig"

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
KEEPALIVE_INTERVAL_MS = 2_000
KEEPALIVE_TIMEOUT_MS = 2_000
STREAM_WINDOW_BYTES = 64 * 1024
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2_000

OPTIONS: list[tuple[str, int]] = [
    # A second process that binds the same port must fail instead of sharing the port unnoticed.
    ("grpc.so_reuseport", 0),
    # gRPC must not retry by itself, because the retry decisions determine what may be sent again.
    ("grpc.enable_retries", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", KEEPALIVE_INTERVAL_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 0),
    ("grpc.http2.max_pings_without_data", 0),
    # A server must not close a connection because of the pings that keep idle streams alive.
    ("grpc.http2.max_ping_strikes", 0),
    # A channel that replaces an unresponsive one must not reuse its connection.
    ("grpc.use_local_subchannel_pool", 1),
    # A fixed flow-control window bounds what a stream buffers for a slow reader.
    ("grpc.http2.bdp_probe", 0),
    ("grpc.http2.lookahead_bytes", STREAM_WINDOW_BYTES),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_INTERVAL_MS),
    ("grpc.initial_reconnect_backoff_ms", RECONNECT_MIN_MS),
    ("grpc.min_reconnect_backoff_ms", RECONNECT_MIN_MS),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_MAX_MS),
]


def method_path(method: str) -> str:
    """Return the full gRPC path of a peer method."""
    return f"/{SERVICE}/{method}"
