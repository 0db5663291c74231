"""Tests of the peer codec."""

import pytest

from almondspindle.adapters.peer.codec import WIRE_TYPES, MalformedMessage, decode, encode
from almondspindle.adapters.peer.messages import RelayRequest
from almondspindle.core.calls import ResponseChunk, ResponseHead, WorkKind
from almondspindle.core.changes import ConfigDelta
from almondspindle.core.config import ConfigSet, Service, ServiceKind, Team
from almondspindle.core.config_messages import ConfigPush, GetConfigRequest, HostStatus
from almondspindle.core.handover import ReleasedTarget, ReleaseRequest, ReleaseResponse
from almondspindle.core.outcomes import InvariantError, Refusal, RefusalCode

MESSAGES = [
    RelayRequest("r1", 1.5, "t1", "team", WorkKind.CHAT, "POST", "/x", (("a", "b"),), b"\x00\xff"),
    ResponseHead(200, (("Content-Type", "text/plain"),), "t1"),
    ResponseChunk(b"\x80data"),
    Refusal(RefusalCode.FULL, "no room", retry_after_s=1.0),
    GetConfigRequest(3),
    ConfigDelta(2, 3, {"a": None}, {"s": Service("s", ServiceKind.CHAT)}),
    ConfigPush("h", 3, ConfigDelta(2, 3, {"a": Team("a", "0" * 64)})),
    ConfigPush("h", 3),
    HostStatus("h", "z", 3, {"h:1": 2}),
    ReleaseRequest("h1", ("t1", "t2")),
    ReleaseResponse((ReleasedTarget("t1", 3),)),
    ConfigSet(3, {"a": Team("a", "0" * 64)}, {"s": Service("s", ServiceKind.PLAIN)}),
]


@pytest.mark.parametrize("msg", MESSAGES, ids=lambda msg: type(msg).__name__)
def test_decoding_an_encoded_message_returns_an_equal_one(msg):
    assert decode(encode(msg)) == msg


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x92\x01\x80", b"\x92\x7f\x80", b"junk"])
def test_malformed_bytes_raise_an_error(data):
    with pytest.raises(MalformedMessage):
        decode(data)


def test_type_numbers_are_unique_and_encoding_an_unknown_type_raises_an_error():
    assert len(set(WIRE_TYPES.values())) == len(WIRE_TYPES)
    with pytest.raises(InvariantError):
        encode(object())
