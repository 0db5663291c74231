"""Encode and decode peer messages. Each message type has a number in `WIRE_TYPES`.

A message is encoded as a MessagePack array of its type's number and its fields. When msgspec
decodes a message, it validates every field against the data class, so other modules never receive
a malformed message.
"""

from typing import Any

import msgspec

from almondspindle.adapters.peer.messages import RelayRequest, SubscribeRequest
from almondspindle.adapters.peer.operator_messages import (
    AdmissionRequest,
    AdmissionResponse,
    CandidatesRequest,
    CandidatesResponse,
    TargetReports,
    TargetReportsRequest,
)
from almondspindle.adapters.peer.parts import (
    Heartbeat,
    RelayedChunk,
    RelayedEnd,
    RelayedHead,
)
from almondspindle.adapters.peer.probe_messages import (
    IndirectProbeRequest,
    IndirectProbeResponse,
    Probe,
    ProbeAck,
)
from almondspindle.adapters.peer.telemetry_messages import (
    GetTelemetry,
    HostTelemetry,
    PushTelemetry,
    TelemetryAccepted,
)
from almondspindle.core.calls import ResponseChunk, ResponseEnd, ResponseHead
from almondspindle.core.changes import ConfigDelta
from almondspindle.core.claims import ClaimReply, ClaimRequest, LookupRequest, SettleRequest
from almondspindle.core.config import ConfigSet
from almondspindle.core.config_messages import (
    ConfigAck,
    ConfigPush,
    ConfigUpToDate,
    ConfigVersionNotice,
    GetConfigRequest,
    HostStatus,
    StatusRequest,
)
from almondspindle.core.handover import ReleaseRequest, ReleaseResponse
from almondspindle.core.outcomes import InvariantError, Refusal
from almondspindle.core.roster import Roster, RosterDelta

WIRE_TYPES: dict[int, type] = {
    1: RelayRequest,
    2: ResponseHead,
    3: ResponseChunk,
    4: ResponseEnd,
    5: Refusal,
    6: SubscribeRequest,
    7: ConfigSet,
    8: Roster,
    10: Probe,
    11: ProbeAck,
    12: IndirectProbeRequest,
    13: IndirectProbeResponse,
    14: RosterDelta,
    20: ClaimRequest,
    21: SettleRequest,
    22: LookupRequest,
    23: ClaimReply,
    30: GetConfigRequest,
    31: ConfigDelta,
    32: ConfigUpToDate,
    33: ConfigPush,
    34: ConfigVersionNotice,
    35: StatusRequest,
    36: HostStatus,
    37: ConfigAck,
    40: ReleaseRequest,
    41: ReleaseResponse,
    70: TargetReportsRequest,
    71: TargetReports,
    72: CandidatesRequest,
    73: CandidatesResponse,
    74: AdmissionRequest,
    75: AdmissionResponse,
    60: PushTelemetry,
    61: TelemetryAccepted,
    62: GetTelemetry,
    63: HostTelemetry,
    50: RelayedHead,
    51: RelayedChunk,
    52: RelayedEnd,
    53: Heartbeat,
}

_NUMBER_BY_TYPE = {cls: number for number, cls in WIRE_TYPES.items()}
_DECODER_BY_NUMBER: dict[int, msgspec.msgpack.Decoder[Any]] = {
    number: msgspec.msgpack.Decoder(cls) for number, cls in WIRE_TYPES.items()
}
_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])


class MalformedMessage(Exception):
    """The bytes from a peer are not a valid message."""


def encode(msg: object) -> bytes:
    """Return the encoded `msg`. Raise `InvariantError` if its type has no number."""
    number = _NUMBER_BY_TYPE.get(type(msg))
    if number is None:
        raise InvariantError(f"{type(msg).__name__} has no wire number")
    return _ENCODER.encode((number, msg))


def decode(data: bytes) -> Any:
    """Return the message in `data`. Raise `MalformedMessage` if it is not valid."""
    try:
        number, payload = _ENVELOPE.decode(data)
        return _DECODER_BY_NUMBER[number].decode(payload)
    except (msgspec.DecodeError, KeyError) as exc:
        raise MalformedMessage(str(exc)) from exc
