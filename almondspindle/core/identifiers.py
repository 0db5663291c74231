"""Identifiers of hosts, targets, teams and requests, each a distinct string type."""

import secrets
from typing import NewType

HostName = NewType("HostName", str)
ZoneName = NewType("ZoneName", str)
TeamName = NewType("TeamName", str)
OperatorName = NewType("OperatorName", str)
TargetName = NewType("TargetName", str)
ServiceName = NewType("ServiceName", str)
ChatId = NewType("ChatId", str)
RequestId = NewType("RequestId", str)

REQUEST_ID_BYTES = 12


def new_request_id() -> RequestId:
    """Return a random request identifier of 24 hexadecimal digits."""
    return RequestId(secrets.token_hex(REQUEST_ID_BYTES))
